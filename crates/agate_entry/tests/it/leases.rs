//! The bound on leases held after the loss of their holder.

use std::time::Duration;

use agate_core::Moment;
use agate_entry::LeaseBound;
use rstest::rstest;

const MINUTE: Duration = Duration::from_mins(1);
const SECOND: Duration = Duration::from_secs(1);

fn at(seconds: u64) -> Moment {
    Moment::ZERO + Duration::from_secs(seconds)
}

#[rstest]
#[case::longer_lease_may_be_held(59, MINUTE)]
#[case::longer_lease_has_lapsed(61, SECOND)]
fn earlier_lease_length_extends_the_bound_until_it_lapses(
    #[case] seconds: u64,
    #[case] longest: Duration,
) {
    let mut bound = LeaseBound::new(MINUTE, [], at(0));
    bound.set_current(SECOND, at(0));
    let lapse = bound.fencing_delay(at(seconds));
    assert!(lapse > longest, "{lapse:?}");
    assert!(lapse < longest * 2 + SECOND * 2, "{lapse:?}");
}

#[test]
fn lease_granted_before_startup_extends_the_bound() {
    let bound = LeaseBound::new(SECOND, [MINUTE], at(100));
    assert!(bound.fencing_delay(at(159)) > MINUTE);
    assert!(bound.fencing_delay(at(161)) < MINUTE);
}

#[test]
fn repeated_switches_keep_the_longest_unlapsed_lease() {
    let mut bound = LeaseBound::new(MINUTE, [], at(0));
    bound.set_current(SECOND, at(0));
    bound.set_current(SECOND * 2, at(30));
    assert!(bound.fencing_delay(at(59)) > MINUTE);
}
