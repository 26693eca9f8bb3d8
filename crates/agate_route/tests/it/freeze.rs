//! Agents whose process was frozen or whose machine was suspended.

use std::time::Duration;

use agate_route::admission::{
    AdmissionControl, AdmissionDecision, AttemptOutcome, Clocks, Offer, StartCheck,
};
use agate_wire::message::Refusal;
use rstest::rstest;

use super::support::{at, class, clocks, control, ms, offer, queued, refused, rng, started};

/// Five minutes pass: on both clocks if the process was stopped, only on the boot clock if the
/// machine was suspended.
#[rstest]
#[case::stopped(Clocks::new(at(300_000), Duration::ZERO))]
#[case::suspended(Clocks::new(at(200), Duration::from_mins(5)))]
fn resumed_agent_starts_nothing_past_its_deadline(#[case] resumed: Clocks) {
    let mut control = control(1, 64);
    let running = started(offer(&mut control, 1_000, 0));
    let waiting = queued(offer(&mut control, 1_000, 0));
    let _ = control.tick(clocks(100), &mut rng());
    assert_eq!(
        control.check_start(running, clocks(100)),
        StartCheck::Proceed
    );
    assert_eq!(control.check_start(running, resumed), StartCheck::Expired);
    let update = control.finish(running, AttemptOutcome::NotStarted, resumed, &mut rng());
    assert_eq!(update.start, []);
    assert_eq!(update.dropped[0].key, waiting);
    assert_eq!(update.dropped[0].refused.reason, Refusal::Late);
}

fn offer_at(control: &mut AdmissionControl, clocks: Clocks) -> AdmissionDecision {
    let class = class();
    let offer = Offer {
        class: &class,
        share_percent: 100,
        budget: ms(1_000),
    };
    control.offer(&offer, clocks, &mut rng())
}

#[test]
fn requests_buffered_during_a_freeze_are_refused() {
    let mut control = control(1, 64);
    let _ = control.tick(clocks(100), &mut rng());
    let resumed = refused(offer_at(&mut control, clocks(300_000)));
    assert_eq!(resumed.reason, Refusal::Late);
    assert_eq!(
        refused(offer_at(&mut control, clocks(300_249))).reason,
        Refusal::Late
    );
    started(offer_at(&mut control, clocks(300_250)));
}

#[test]
fn regular_ticks_are_not_mistaken_for_a_freeze() {
    let mut control = control(1, 64);
    for tick in 0..40 {
        let _ = control.tick(clocks(tick * 250), &mut rng());
    }
    started(offer_at(&mut control, clocks(9_990)));
}

#[test]
fn a_freeze_does_not_count_as_service_time() {
    let mut control = control(1, 64);
    let first = started(offer(&mut control, 1_000, 0));
    let _ = control.finish(first, AttemptOutcome::Answered, clocks(20), &mut rng());
    let _ = control.tick(clocks(100), &mut rng());
    let second = started(offer(&mut control, 1_000, 110));
    let _ = control.finish(
        second,
        AttemptOutcome::Answered,
        clocks(300_000),
        &mut rng(),
    );
    assert_eq!(control.load().service_us, 20_000);
}
