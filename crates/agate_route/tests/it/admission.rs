//! Admission control of an agent.

use agate_core::ClassName;
use agate_route::admission::{AdmissionControl, AdmissionDecision, AttemptOutcome, CancelOutcome};
use agate_wire::message::Refusal;
use proptest::prelude::*;
use rstest::rstest;

use super::support::{clocks, control, ms, offer, offer_class, queued, refused, rng, started};

/// An agent with one busy slot and an expected service time of 100 ms.
fn busy() -> AdmissionControl {
    let mut control = control(1, 64);
    let key = started(offer(&mut control, 1_000, 0));
    let _ = control.finish(key, AttemptOutcome::Answered, clocks(100), &mut rng());
    started(offer(&mut control, 1_000, 100));
    control
}

#[rstest]
#[case(8, 64, 8)]
#[case(8, 5, 5)]
fn running_requests_are_bounded_by_slots_and_connections(
    #[case] slots: u32,
    #[case] connections: u32,
    #[case] expected: usize,
) {
    let mut control = control(slots, connections);
    let decisions: Vec<AdmissionDecision> =
        (0..12).map(|_| offer(&mut control, 1_000, 0)).collect();
    let running = decisions
        .iter()
        .filter(|decision| matches!(decision, AdmissionDecision::Start(_)));
    assert_eq!(running.count(), expected);
}

#[test]
fn full_queue_refuses_the_next_request_at_once() {
    let mut control = control(2, 64);
    let decisions: Vec<AdmissionDecision> = (0..6).map(|_| offer(&mut control, 1_000, 0)).collect();
    assert!(
        !decisions
            .iter()
            .any(|decision| matches!(decision, AdmissionDecision::Refuse(_)))
    );
    let refused = refused(offer(&mut control, 1_000, 0));
    assert_eq!(refused.reason, Refusal::Full);
    assert!(refused.retry_after >= ms(200));
}

#[test]
fn the_earliest_deadline_starts_first() {
    let mut control = control(1, 64);
    let first = started(offer(&mut control, 1_000, 0));
    let late = queued(offer(&mut control, 900, 0));
    let early = queued(offer(&mut control, 500, 0));
    let update = control.finish(first, AttemptOutcome::NotStarted, clocks(10), &mut rng());
    assert_eq!(update.start, [early]);
    let update = control.finish(early, AttemptOutcome::NotStarted, clocks(20), &mut rng());
    assert_eq!(update.start, [late]);
}

#[test]
fn request_that_cannot_meet_its_deadline_is_refused_at_once() {
    let mut control = busy();
    assert_eq!(refused(offer(&mut control, 150, 100)).reason, Refusal::Late);
    queued(offer(&mut control, 250, 100));
}

#[test]
fn request_that_would_make_a_queued_one_late_is_refused() {
    let mut control = busy();
    queued(offer(&mut control, 250, 100));
    assert_eq!(refused(offer(&mut control, 240, 100)).reason, Refusal::Late);
}

#[test]
fn queued_request_is_refused_once_it_cannot_meet_its_deadline() {
    let mut control = busy();
    let queued_key = queued(offer(&mut control, 250, 100));
    assert_eq!(control.next_expiry(clocks(100)), Some(ms(150)));
    assert_eq!(control.tick(clocks(250), &mut rng()).dropped, []);
    let update = control.tick(clocks(251), &mut rng());
    assert_eq!(update.dropped[0].key, queued_key);
    assert_eq!(update.dropped[0].refused.reason, Refusal::Late);
    assert_eq!(control.next_expiry(clocks(251)), None);
}

#[test]
fn late_queued_request_is_dropped_and_the_next_one_starts() {
    let mut control = control(1, 64);
    let first = started(offer(&mut control, 1_000, 0));
    let late = queued(offer(&mut control, 50, 0));
    let next = queued(offer(&mut control, 900, 0));
    let update = control.finish(first, AttemptOutcome::Answered, clocks(60), &mut rng());
    assert_eq!(update.dropped[0].key, late);
    assert_eq!(update.start, [next]);
}

#[test]
fn a_class_holds_no_more_than_its_share() {
    let mut control = control(8, 64);
    let quote = ClassName::new("quote").unwrap();
    let first = started(offer_class(&mut control, &quote, 25, 1_000, 0));
    started(offer_class(&mut control, &quote, 25, 1_000, 0));
    let queued_key = queued(offer_class(&mut control, &quote, 25, 500, 0));
    for _ in 0..6 {
        started(offer(&mut control, 1_000, 0));
    }
    let other = queued(offer(&mut control, 900, 0));
    let update = control.finish(first, AttemptOutcome::NotStarted, clocks(1), &mut rng());
    assert_eq!(update.start, [queued_key]);
    assert_eq!(control.cancel(other), CancelOutcome::Removed);
}

#[test]
fn cancel_removes_a_queued_request_but_not_a_running_one() {
    let mut control = control(1, 64);
    let running = started(offer(&mut control, 1_000, 0));
    let queued_key = queued(offer(&mut control, 1_000, 0));
    assert_eq!(control.cancel(queued_key), CancelOutcome::Removed);
    assert_eq!(control.cancel(queued_key), CancelOutcome::Unknown);
    assert_eq!(control.cancel(running), CancelOutcome::Running);
    assert_eq!(control.load().running, 1);
    let update = control.finish(running, AttemptOutcome::Answered, clocks(10), &mut rng());
    assert_eq!(update.start, []);
    assert!(control.is_idle());
}

#[test]
fn draining_agent_refuses_new_requests_and_runs_queued_ones() {
    let mut control = control(1, 64);
    let running = started(offer(&mut control, 1_000, 0));
    let queued_key = queued(offer(&mut control, 1_000, 0));
    control.drain();
    let refused = refused(offer(&mut control, 1_000, 0));
    assert_eq!(refused.reason, Refusal::Leaving);
    let update = control.finish(running, AttemptOutcome::Answered, clocks(10), &mut rng());
    assert_eq!(update.start, [queued_key]);
}

#[test]
fn retry_after_grows_with_each_refusal() {
    let mut control = control(1, 64);
    let key = started(offer(&mut control, 1_000, 0));
    let _ = control.finish(key, AttemptOutcome::Answered, clocks(100), &mut rng());
    for _ in 0..3 {
        offer(&mut control, 5_000, 100);
    }
    let retries: Vec<_> = (0..20)
        .map(|_| refused(offer(&mut control, 5_000, 100)).retry_after)
        .collect();
    assert!(retries[19] >= retries[0] + ms(1_500), "{retries:?}");
}

#[test]
fn retry_after_has_jitter() {
    let mut control = control(0, 0);
    let mut random = rng();
    let class = super::support::class();
    let retry_after = |control: &mut AdmissionControl, now, random: &mut _| {
        let offer = agate_route::admission::Offer {
            class: &class,
            share_percent: 100,
            budget: ms(1_000),
        };
        refused(control.offer(&offer, clocks(now), random)).retry_after
    };
    let retries: Vec<_> = (0..100)
        .map(|i| retry_after(&mut control, i * 1_000, &mut random))
        .collect();
    let (shortest, longest) = (retries.iter().min().unwrap(), retries.iter().max().unwrap());
    assert!(*shortest >= ms(200) && *longest <= ms(300));
    assert!(*longest > *shortest + ms(80));
}

#[test]
fn quick_failures_do_not_lower_the_service_time() {
    let mut control = control(1, 64);
    let key = started(offer(&mut control, 1_000, 0));
    let _ = control.finish(key, AttemptOutcome::Answered, clocks(100), &mut rng());
    for now in 100..120 {
        let key = started(offer(&mut control, 1_000, now));
        let _ = control.finish(key, AttemptOutcome::Failed, clocks(now + 1), &mut rng());
    }
    assert_eq!(control.load().service_us, 100_000);
}

#[test]
fn finishing_a_queued_request_has_no_effect() {
    let mut control = control(1, 64);
    started(offer(&mut control, 1_000, 0));
    let queued_key = queued(offer(&mut control, 1_000, 0));
    let update = control.finish(queued_key, AttemptOutcome::Answered, clocks(1), &mut rng());
    assert_eq!(update.start, []);
    assert_eq!((control.load().running, control.load().queued), (1, 1));
}

#[test]
fn idle_agent_starts_a_request_despite_a_long_expected_service_time() {
    let mut control = control(1, 64);
    let first = started(offer(&mut control, 10_000, 0));
    let queued_key = queued(offer(&mut control, 10_000, 0));
    let update = control.finish(first, AttemptOutcome::Answered, clocks(6_000), &mut rng());
    assert_eq!(update.start, [queued_key]);
}

proptest! {
    #[test]
    fn the_queue_never_exceeds_its_bound(
        steps in proptest::collection::vec((0_u64..3, 1_u64..500, 0_u64..40), 1..200),
        slots in 1_u32..6,
    ) {
        let mut control = control(slots, 64);
        let mut running = Vec::new();
        let mut now = 0;
        for (kind, budget, elapsed) in steps {
            now += elapsed;
            let update = match kind {
                0 if !running.is_empty() => {
                    let key = running.remove(0);
                    control.finish(key, AttemptOutcome::Answered, clocks(now), &mut rng())
                }
                1 => control.tick(clocks(now), &mut rng()),
                _ => {
                    if let AdmissionDecision::Start(key) = offer(&mut control, budget, now) {
                        running.push(key);
                    }
                    agate_route::admission::QueueUpdate::default()
                }
            };
            running.extend(update.start);
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(control.load().running as usize, running.len());
            prop_assert!(control.load().queued <= slots * 2);
        }
    }
}
