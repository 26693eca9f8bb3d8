//! Ids, names, resources and trace contexts.

use std::time::Duration;

use agate_core::ids::KeyError;
use agate_core::{ClassName, Incarnation, Key, Moment, Resources, RunId, TraceContext};
use proptest::prelude::*;
use rstest::rstest;

const MINUTE_MS: u64 = 60_000;
const WINDOW: Duration = Duration::from_mins(15);
/// Current time of the tests, in milliseconds since the Unix epoch.
const NOW_MS: u64 = 1_790_000_000_000;

#[rstest]
#[case::fresh(NOW_MS, Ok(()))]
#[case::at_the_window(NOW_MS - 15 * MINUTE_MS, Ok(()))]
#[case::past_the_window(NOW_MS - 15 * MINUTE_MS - 1, Err(KeyError::TooOld))]
#[case::skewed(NOW_MS + MINUTE_MS, Ok(()))]
#[case::from_future(NOW_MS + MINUTE_MS + 1, Err(KeyError::FromFuture))]
fn key_outside_the_window_or_the_clock_skew_is_refused(
    #[case] created: u64,
    #[case] expected: Result<(), KeyError>,
) {
    let key = Key::from_parts(created, [7; 10]);
    assert_eq!(key.created_millis(), created);
    assert_eq!(key.check_age(NOW_MS, WINDOW), expected);
}

#[rstest]
#[case::random_version("8c4f2b1e-1c1b-4e0a-9a53-0f6f0f5d9c11")]
#[case::empty("")]
#[case::text("seat-17")]
fn key_that_is_not_a_uuid_of_version_7_is_refused(#[case] text: &str) {
    assert_eq!(text.parse::<Key>(), Err(KeyError::NotUuidV7));
}

#[rstest]
#[case::upper_case("Rebalance")]
#[case::empty("")]
#[case::space("a b")]
#[case::long(&"a".repeat(65))]
fn invalid_name_is_refused(#[case] text: &str) {
    ClassName::new(text).expect_err("the name is invalid");
    serde_json::from_value::<ClassName>(text.into()).expect_err("the name is invalid");
}

#[rstest]
#[case::version("01-0000000000000000000000000000000a-000000000000000b-01")]
#[case::short("00-0a-000000000000000b-01")]
#[case::upper_case("00-0000000000000000000000000000000A-000000000000000b-01")]
#[case::zero_trace("00-00000000000000000000000000000000-000000000000000b-01")]
#[case::zero_span("00-0000000000000000000000000000000a-0000000000000000-01")]
#[case::signed("00-+000000000000000000000000000000a-000000000000000b-01")]
#[case::empty("")]
fn invalid_traceparent_is_refused(#[case] text: &str) {
    text.parse::<TraceContext>()
        .expect_err("the context is invalid");
}

#[rstest]
#[case::fits(Resources::new(1, 1, 0), true)]
#[case::exact(Resources::new(2, 2, 1), true)]
#[case::cores(Resources::new(3, 1, 0), false)]
#[case::memory(Resources::new(1, 3, 0), false)]
#[case::accelerators(Resources::new(1, 1, 2), false)]
fn demand_fits_only_if_every_dimension_fits(#[case] demand: Resources, #[case] fits: bool) {
    let available = Resources::new(2, 2, 1);
    assert_eq!(demand.fits_in(available), fits);
    assert_eq!(available.checked_sub(demand).is_some(), fits);
}

#[test]
fn share_of_a_missing_resource_is_infinite() {
    let share = Resources::new(0, 0, 1).dominant_share(Resources::new(1, 1, 0));
    assert!(share.is_infinite());
}

proptest! {
    #[test]
    fn ids_round_trip_through_text(job: u64, index: u32, epoch: u32, incarnation: u64) {
        let run: RunId = format!("{job:016x}.{index}.{epoch}").parse().expect("the id is valid");
        prop_assert_eq!(run.to_string().parse::<RunId>(), Ok(run));
        let incarnation = Incarnation::new(incarnation);
        prop_assert_eq!(incarnation.to_string().parse::<Incarnation>(), Ok(incarnation));
    }

    #[test]
    fn traceparent_round_trips_through_text(trace in 1u128.., span in 1u64.., sampled: bool) {
        let context = TraceContext { trace, span, sampled };
        prop_assert_eq!(context.to_string().parse::<TraceContext>(), Ok(context));
    }

    #[test]
    fn parsing_arbitrary_text_never_panics(text in "\\PC{0,80}") {
        let _ = text.parse::<RunId>();
        let _ = text.parse::<TraceContext>();
        let _ = text.parse::<Key>();
        let _ = text.parse::<Incarnation>();
    }

    #[test]
    fn adding_a_duration_never_yields_an_earlier_moment(at: u64, step: u64) {
        let moment = Moment::from_micros(at);
        prop_assert!(moment + Duration::from_micros(step) >= moment);
        prop_assert_eq!(moment.since(moment + Duration::from_micros(step)), Duration::ZERO);
    }
}
