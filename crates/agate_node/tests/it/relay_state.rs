//! When calls fail over, and to which peer.

use agate_core::Moment;
use agate_node::relay::{Attempts, CallResult, Failover, Order, Peers, Target, Transition};
use rstest::rstest;

use crate::support::address;

const fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

/// Applies a call to the log that took 10 ms.
fn call(failover: &mut Failover, result: CallResult, end_ms: u64) -> Option<Transition> {
    failover.record(result, "cause", at(end_ms - 10), at(end_ms))
}

fn failed_over() -> Failover {
    let mut failover = Failover::default();
    assert_eq!(
        call(&mut failover, CallResult::TimedOut, 1_000),
        Some(Transition::Started)
    );
    failover
}

#[rstest]
#[case::one_rejection(&[CallResult::Rejected], false)]
#[case::two_rejections(&[CallResult::Rejected, CallResult::Rejected], true)]
#[case::not_consecutive(&[CallResult::Rejected, CallResult::Answered, CallResult::Rejected], false)]
#[case::one_timeout(&[CallResult::TimedOut], true)]
#[case::full_queue(&[CallResult::QueueFull, CallResult::QueueFull, CallResult::QueueFull], false)]
fn a_failover_starts_after_two_rejections_or_a_timeout(
    #[case] results: &[CallResult],
    #[case] starts: bool,
) {
    let mut failover = Failover::default();
    for (number, result) in (1..).zip(results) {
        call(&mut failover, *result, number * 100);
    }
    assert_eq!(failover.is_active(), starts);
}

#[test]
fn the_first_success_ends_a_failover_and_reports_it() {
    let mut failover = failed_over();
    failover.count_relayed(address(1));
    let Some(Transition::Ended(ended)) = call(&mut failover, CallResult::Answered, 3_000) else {
        panic!("it has not ended");
    };
    assert_eq!(
        (ended.calls, ended.peer, &*ended.cause),
        (1, Some(address(1)), "cause")
    );
    assert_eq!(ended.lasted.as_millis(), 2_000);
}

/// The end of a long poll that began before the log rejected the process ended the failover.
#[test]
fn a_call_that_began_earlier_does_not_end_a_failover() {
    let mut failover = failed_over();
    failover.record(CallResult::Answered, "", at(900), at(1_100));
    assert!(failover.is_active());
}

/// An append that the slow log holds back times out while reads are answered.
#[test]
fn a_timeout_of_a_call_that_began_before_an_answered_one_is_ignored() {
    let mut failover = Failover::default();
    failover.record(CallResult::Answered, "", at(500), at(510));
    failover.record(CallResult::TimedOut, "", at(200), at(1_000));
    assert!(!failover.is_active());
}

/// Late results of earlier calls were counted, so that the next single rejection began a failover.
#[test]
fn a_rejection_of_a_call_that_began_before_an_answered_one_is_not_counted() {
    let mut failover = Failover::default();
    failover.record(CallResult::Answered, "", at(500), at(510));
    failover.record(CallResult::Rejected, "", at(200), at(600));
    failover.record(CallResult::Rejected, "", at(700), at(710));
    assert!(!failover.is_active());
}

/// A slow log can hold an append back until it times out while it answers reads. The failover that
/// begins then sent each append to two peers for a second.
#[test]
fn the_first_probe_after_a_timeout_is_due_at_once() {
    let mut failover = failed_over();
    assert!(failover.takes_probe(at(1_000)));
    assert!(!failover.takes_probe(at(1_999)));
    call(&mut failover, CallResult::Answered, 1_020);
    assert!(!failover.is_active());
}

#[test]
fn the_log_is_probed_once_a_second() {
    let mut failover = Failover::default();
    call(&mut failover, CallResult::Rejected, 900);
    call(&mut failover, CallResult::Rejected, 1_000);
    let probes = (0..100).filter(|tick| failover.takes_probe(at(1_000 + tick * 50)));
    assert_eq!(probes.collect::<Vec<_>>(), [20, 40, 60, 80]);
    assert!(!Failover::default().takes_probe(at(9_000)));
}

#[test]
fn a_failed_peer_is_excluded_for_two_seconds() {
    let mut peers = Peers::new("m9", address(9), &[address(1), address(2)]);
    let first = peers.choose(at(0)).unwrap();
    assert!(peers.exclude(first, at(0)), "it had not failed before");
    assert_ne!(peers.choose(at(1_999)), Some(first));
    assert_eq!(peers.choose(at(2_000)), Some(first));
    assert!(!peers.exclude(first, at(2_000)), "it had failed before");
}

/// The seeds may contain the process's own address, and other ports than those of the relays.
#[test]
fn the_own_address_is_no_peer_and_only_the_ip_address_counts() {
    let mut seeds = [address(1), address(2)];
    for seed in &mut seeds {
        seed.set_port(99);
    }
    let peers = Peers::new("m1", address(1), &seeds);
    assert_eq!(peers.choose(at(0)), Some(address(2)));
    assert_eq!(
        Peers::new("m1", address(1), &[address(1)]).choose(at(0)),
        None
    );
}

#[test]
fn the_load_spreads_over_the_peers() {
    let seeds = [address(1), address(2), address(3)];
    for seed in seeds {
        let names = (0..300).map(|number| format!("m{number}"));
        let first =
            names.filter(|name| Peers::new(name, address(9), &seeds).choose(at(0)) == Some(seed));
        assert!((70..130).contains(&first.count()), "{seed}");
    }
}

/// A log that answers nobody must not multiply the calls.
#[rstest]
#[case::direct(Order::StoreFirst, "S11")]
#[case::failover(Order::PeerFirst, "11S")]
fn a_call_makes_at_most_three_attempts(#[case] order: Order, #[case] expected: &str) {
    let peers = Peers::new("m9", address(9), &[address(1)]);
    let mut attempts = Attempts::new(order);
    let mut made = String::new();
    while let Some(target) = attempts.next(&peers, at(0)) {
        made.push(if target == Target::Store { 'S' } else { '1' });
    }
    assert_eq!(made, expected);
}
