//! Admission by an agent.

use agate_core::ClassName;
use agate_route::admission::{AdmissionControl, AdmissionDecision, AttemptOutcome, CancelOutcome};
use agate_wire::message::Refusal;
use proptest::prelude::*;
use rstest::rstest;

use super::support::{clocks, control, ms, offer, offer_class, queued, refused, rng, started};

/// An agent with one slot that has learned a service time of 100 ms and is working again.
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
    let admits: Vec<AdmissionDecision> = (0..12).map(|_| offer(&mut control, 1_000, 0)).collect();
    let running = admits
        .iter()
        .filter(|admit| matches!(admit, AdmissionDecision::Start(_)));
    assert_eq!(running.count(), expected);
}

#[test]
fn the_queue_is_bounded_and_the_next_request_is_refused_at_once() {
    let mut control = control(2, 64);
    let admits: Vec<AdmissionDecision> = (0..6).map(|_| offer(&mut control, 1_000, 0)).collect();
    assert!(
        !admits
            .iter()
            .any(|admit| matches!(admit, AdmissionDecision::Refuse(_)))
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
    let turn = control.finish(first, AttemptOutcome::NotStarted, clocks(10), &mut rng());
    assert_eq!(turn.start, [early]);
    let turn = control.finish(early, AttemptOutcome::NotStarted, clocks(20), &mut rng());
    assert_eq!(turn.start, [late]);
}

#[test]
fn what_cannot_be_answered_in_time_is_refused_at_once() {
    let mut control = busy();
    assert_eq!(refused(offer(&mut control, 150, 100)).reason, Refusal::Late);
    queued(offer(&mut control, 250, 100));
}

#[test]
fn a_newcomer_does_not_make_a_waiting_request_late() {
    let mut control = busy();
    queued(offer(&mut control, 250, 100));
    assert_eq!(refused(offer(&mut control, 240, 100)).reason, Refusal::Late);
}

#[test]
fn a_waiting_request_gets_its_refusal_by_its_deadline() {
    let mut control = busy();
    let waiting = queued(offer(&mut control, 250, 100));
    assert_eq!(control.next_expiry(clocks(100)), Some(ms(150)));
    assert_eq!(control.tick(clocks(250), &mut rng()).dropped, []);
    let turn = control.tick(clocks(251), &mut rng());
    assert_eq!(turn.dropped[0].key, waiting);
    assert_eq!(turn.dropped[0].refused.reason, Refusal::Late);
    assert_eq!(control.next_expiry(clocks(251)), None);
}

#[test]
fn a_request_that_is_late_at_its_turn_is_refused_and_the_next_one_starts() {
    let mut control = control(1, 64);
    let first = started(offer(&mut control, 1_000, 0));
    let late = queued(offer(&mut control, 50, 0));
    let next = queued(offer(&mut control, 900, 0));
    let turn = control.finish(first, AttemptOutcome::Answered, clocks(60), &mut rng());
    assert_eq!(turn.dropped[0].key, late);
    assert_eq!(turn.start, [next]);
}

#[test]
fn a_class_holds_no_more_than_its_share() {
    let mut control = control(8, 64);
    let quote = ClassName::new("quote").unwrap();
    let first = started(offer_class(&mut control, &quote, 25, 1_000, 0));
    started(offer_class(&mut control, &quote, 25, 1_000, 0));
    let waiting = queued(offer_class(&mut control, &quote, 25, 500, 0));
    for _ in 0..6 {
        started(offer(&mut control, 1_000, 0));
    }
    let other = queued(offer(&mut control, 900, 0));
    let turn = control.finish(first, AttemptOutcome::NotStarted, clocks(1), &mut rng());
    assert_eq!(turn.start, [waiting]);
    assert_eq!(control.cancel(other), CancelOutcome::Removed);
}

#[test]
fn a_cancelled_request_leaves_the_queue_and_a_running_one_goes_on() {
    let mut control = control(1, 64);
    let running = started(offer(&mut control, 1_000, 0));
    let waiting = queued(offer(&mut control, 1_000, 0));
    assert_eq!(control.cancel(waiting), CancelOutcome::Removed);
    assert_eq!(control.cancel(waiting), CancelOutcome::Unknown);
    assert_eq!(control.cancel(running), CancelOutcome::Running);
    assert_eq!(control.load().running, 1);
    let turn = control.finish(running, AttemptOutcome::Answered, clocks(10), &mut rng());
    assert_eq!(turn.start, []);
    assert!(control.is_idle());
}

#[test]
fn a_draining_agent_refuses_newcomers_and_works_off_the_rest() {
    let mut control = control(1, 64);
    let running = started(offer(&mut control, 1_000, 0));
    let waiting = queued(offer(&mut control, 1_000, 0));
    control.drain();
    let refused = refused(offer(&mut control, 1_000, 0));
    assert_eq!(refused.reason, Refusal::Leaving);
    let turn = control.finish(running, AttemptOutcome::Answered, clocks(10), &mut rng());
    assert_eq!(turn.start, [waiting]);
}

#[test]
fn refused_callers_are_told_to_come_back_one_after_another() {
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
fn times_to_come_back_have_jitter() {
    let mut control = control(0, 0);
    let mut random = rng();
    let class = super::support::class();
    let retry = |control: &mut AdmissionControl, now, random: &mut _| {
        let offer = agate_route::admission::Offer {
            class: &class,
            share_percent: 100,
            budget: ms(1_000),
        };
        refused(control.offer(&offer, clocks(now), random)).retry_after
    };
    let retries: Vec<_> = (0..100)
        .map(|i| retry(&mut control, i * 1_000, &mut random))
        .collect();
    let (least, most) = (retries.iter().min().unwrap(), retries.iter().max().unwrap());
    assert!(*least >= ms(200) && *most <= ms(300));
    assert!(*most > *least + ms(80));
}

#[test]
fn a_quick_failure_does_not_make_the_agent_look_fast() {
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
fn a_waiting_request_cannot_be_finished() {
    let mut control = control(1, 64);
    started(offer(&mut control, 1_000, 0));
    let waiting = queued(offer(&mut control, 1_000, 0));
    let turn = control.finish(waiting, AttemptOutcome::Answered, clocks(1), &mut rng());
    assert_eq!(turn.start, []);
    assert_eq!((control.load().running, control.load().queued), (1, 1));
}

#[test]
fn an_idle_agent_tries_a_request_even_if_the_learned_service_time_is_too_long() {
    let mut control = control(1, 64);
    let first = started(offer(&mut control, 10_000, 0));
    let waiting = queued(offer(&mut control, 10_000, 0));
    let turn = control.finish(first, AttemptOutcome::Answered, clocks(6_000), &mut rng());
    assert_eq!(turn.start, [waiting]);
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
        for (kind, budget, pass) in steps {
            now += pass;
            let turn = match kind {
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
            running.extend(turn.start);
            prop_assert!(running.len() <= slots as usize);
            prop_assert_eq!(control.load().running as usize, running.len());
            prop_assert!(control.load().queued <= slots * 2);
        }
    }
}
