//! Tests of the expiry of open suspicions across changes of the leader.

use std::time::Duration;

use agate_core::JobId;
use agate_jobs::plan::{SUSPECT_AFTER, SuspicionTimes};
use agate_jobs::record::Body;
use agate_jobs::{
    EndCause, JobState, LeaderHeartbeat, Record, Suspect, SuspicionRecord, WorkerIncarnation,
    WorkerReport, WorkerState,
};

use crate::fleet::{Fleet, LEASE};
use crate::support::{cancelled, ended, report, step, submitted, task};

/// Time from the storage of a suspicion to the loss of the worker's runs.
const EXPIRY: Duration = LEASE.saturating_add(Duration::from_millis(400));

/// Returns a fleet whose only worker has a run and has just come under suspicion.
fn suspected_fleet() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet.advance(Duration::from_secs(2));
    assert!(fleet.suspicions()[0].suspected);
    fleet
}

/// Each leader counted the expiry of a recorded suspicion from its own takeover, so that the tasks
/// of a lost worker waited for one more lease with each change (incident 7).
#[test]
fn two_takeovers_do_not_restart_the_expiry_of_a_suspicion() {
    let mut fleet = suspected_fleet();
    fleet.send_heartbeat(1);
    let stored_at = fleet.now;
    for epoch in [2, 3] {
        fleet.advance(Duration::from_secs(2));
        fleet.fold_heartbeat(epoch, Vec::new());
        fleet.take_over();
        fleet.send_heartbeat(epoch);
    }
    let margin = Duration::from_millis(300);
    let before_expiry = EXPIRY.saturating_sub(fleet.now.since(stored_at) + margin);
    fleet.advance(before_expiry);
    assert_eq!(
        fleet.scheduler.bound_runs(),
        1,
        "the lease may not have lapsed yet"
    );
    fleet.advance(margin);
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

/// Where entries are restarted in turn, the next leader may have started after the suspicion was first
/// listed. It counted from the first heartbeat that it read itself (soak, series of planned stops, seed
/// 4306).
#[test]
fn an_entry_that_started_after_a_suspicion_counts_its_age() {
    let mut fleet = suspected_fleet();
    let stored_at = fleet.now;
    fleet.send_heartbeat(1);
    fleet.advance(Duration::from_secs(4));
    fleet.suspicion_times = SuspicionTimes::default();
    fleet.send_heartbeat(1);
    fleet.take_over();
    let margin = Duration::from_millis(300);
    fleet.advance(EXPIRY.saturating_sub(fleet.now.since(stored_at) + margin));
    assert_eq!(
        fleet.scheduler.bound_runs(),
        1,
        "the lease may not have lapsed yet"
    );
    fleet.advance(margin);
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

/// Without a heartbeat that lists it, the time at which a suspicion was stored is unknown. Counting
/// from an earlier time could start a task in two places.
#[rstest::rstest]
#[case::heartbeat_lost(None)]
#[case::other_number(Some((0, 0)))]
#[case::other_term(Some((1, 1)))]
fn an_unlisted_suspicion_expires_a_lease_after_the_takeover(#[case] listed: Option<(u32, u64)>) {
    let mut fleet = suspected_fleet();
    let suspects = listed.map(|(term, number)| Suspect {
        incarnation: WorkerIncarnation {
            term,
            ..report("a", 1).incarnation
        },
        number,
        age_ms: 0,
    });
    fleet.fold_heartbeat(1, suspects.into_iter().collect());
    fleet.advance(Duration::from_secs(3));
    fleet.take_over();
    fleet.advance(LEASE);
    assert_eq!(fleet.scheduler.bound_runs(), 1);
    fleet.advance(Duration::from_millis(400));
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

/// A leader may queue the record of a suspicion and lose the log before it is stored. A heartbeat
/// that listed it would let its successor count from a time at which the lease was still renewed.
#[test]
fn a_heartbeat_lists_only_stored_and_open_suspicions() {
    let mut fleet = suspected_fleet();
    assert_eq!(fleet.scheduler.stored_suspicions(fleet.now).len(), 1);
    let mut answer = report("a", 1);
    answer.acked_suspicion = 1;
    fleet.fold(Record::new(Body::Worker(answer)));
    fleet.advance(Duration::from_millis(1));
    assert!(
        fleet.scheduler.stored_suspicions(fleet.now).is_empty(),
        "it is cleared"
    );
    fleet.now = fleet.now + Duration::from_secs(2);
    let since = agate_core::Moment::ZERO;
    fleet.scheduler.update_suspicions(fleet.now, since, LEASE);
    assert!(
        fleet.scheduler.stored_suspicions(fleet.now).is_empty(),
        "it is not stored"
    );
    let stored = SuspicionRecord {
        incarnation: report("a", 1).incarnation,
        number: 2,
        suspected: true,
    };
    assert!(fleet.scheduler.suspicion_recorded(&stored, fleet.now));
    assert_eq!(fleet.scheduler.stored_suspicions(fleet.now)[0].number, 2);
}

/// Numbers start again with each incarnation. The record of an earlier incarnation may be stored late,
/// and starting the expiry of the current one by it would end a lease that is still renewed.
#[test]
fn a_record_of_an_earlier_incarnation_does_not_start_the_expiry() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    let since = agate_core::Moment::ZERO;
    let silence = Duration::from_secs(2);
    fleet.now = fleet.now + silence;
    fleet.scheduler.update_suspicions(fleet.now, since, LEASE);
    fleet.scheduler.take_effects();
    fleet.fold(Record::new(Body::Worker(report("a", 2))));
    fleet.scheduler.take_effects();
    fleet.now = fleet.now + silence;
    fleet.scheduler.update_suspicions(fleet.now, since, LEASE);
    let [earlier, current] = [1, 2].map(|started_ms| SuspicionRecord {
        incarnation: report("a", started_ms).incarnation,
        number: 1,
        suspected: true,
    });
    assert!(!fleet.scheduler.suspicion_recorded(&earlier, fleet.now));
    assert!(fleet.scheduler.stored_suspicions(fleet.now).is_empty());
    assert!(fleet.scheduler.suspicion_recorded(&current, fleet.now));
    assert_eq!(fleet.scheduler.stored_suspicions(fleet.now).len(), 1);
}

/// A suspicion that its leader no longer lists is settled, so its time must not accumulate.
#[test]
fn the_leader_that_listed_a_suspicion_removes_it() {
    let mut fleet = suspected_fleet();
    let record = fleet.suspicions()[0].clone();
    fleet.send_heartbeat(1);
    let read_at = fleet.now;
    fleet.advance(Duration::from_secs(1));
    let time = |fleet: &Fleet| fleet.suspicion_times.get_or(&record, fleet.now);
    fleet.fold_heartbeat(2, Vec::new());
    assert_eq!(time(&fleet), read_at, "a new leader lists nothing at first");
    fleet.send_heartbeat(2);
    assert_eq!(time(&fleet), read_at);
    fleet.fold_heartbeat(2, Vec::new());
    assert_eq!(time(&fleet), fleet.now);
}

/// Processes of both versions run during an upgrade.
#[test]
fn heartbeats_without_suspicions_are_those_of_older_versions() {
    let older = br#"{"leader":{"epoch":1,"entry":"e","resigns":false}}"#;
    let parsed = Record::parse("l".to_owned(), older).expect("it is readable");
    assert_eq!(
        parsed.body,
        Some(Body::Leader(LeaderHeartbeat {
            epoch: 1,
            entry: "e".to_owned(),
            resigns: false,
            started_jobs: Vec::new(),
            suspects: Vec::new(),
        }))
    );
    assert_eq!(parsed.value().expect("it is writable"), older);
}

/// Returns a fleet with bound runs, one of which has ended, a worker that has left with its runs, and
/// one under suspicion.
fn fleet_to_restore() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1), report("c", 1)]);
    fleet.fold(submitted(1, vec![step(3)]));
    fleet.fold(submitted(2, vec![step(9)]));
    assert_eq!(fleet.place().len(), 12);
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    fleet.advance(Duration::from_secs(2));
    for name in ["a", "b"] {
        fleet.fold(Record::new(Body::Worker(WorkerReport {
            acked_suspicion: 1,
            ..report(name, 1)
        })));
    }
    fleet.update_suspicions(agate_core::Moment::ZERO);
    fleet
}

/// A new leader goes on reading while it restores its state. A change that some steps have seen and
/// others have not must not leave a run bound that has ended, nor bind a task again whose run may be
/// active.
#[rstest::rstest]
#[case::end_of_a_run(ended(task(2, 0, 1), 1, EndCause::Done, "a"))]
#[case::loss_of_a_run(ended(task(2, 0, 1), 1, EndCause::Lapsed, "a"))]
#[case::cancellation(cancelled(2))]
#[case::restart(Record::new(Body::Worker(report("a", 9))))]
#[case::departure(Record::new(Body::Worker(in_state("a", WorkerState::Gone))))]
#[case::lapse(Record::new(Body::Worker(in_state("a", WorkerState::Lapsed))))]
#[case::acknowledgement(Record::new(Body::Worker(acknowledging("c"))))]
#[case::new_worker(Record::new(Body::Worker(report("d", 1))))]
#[case::worker_at_the_same_address(Record::new(Body::Worker(successor_of("a"))))]
#[case::submission(submitted(3, vec![step(2)]))]
fn a_change_during_a_restore_counts_as_one_before_or_after_it(#[case] change: Record) {
    let mut after = fleet_to_restore();
    after.take_over();
    after.fold(change.clone());
    let mut before = fleet_to_restore();
    before.table.fold(change.clone());
    before.take_over();
    let expected = [outcome(&mut before), outcome(&mut after)];
    let mut steps = 0;
    loop {
        let mut fleet = fleet_to_restore();
        if !fleet.take_over_during(steps, &change) {
            break;
        }
        let outcome = outcome(&mut fleet);
        assert!(
            expected.contains(&outcome),
            "before step {steps}: {outcome:#?}"
        );
        steps += 1;
    }
    assert!(steps > 30, "{steps} steps");
}

/// Returns what a fleet has bound after another round, by task, and the suspicions of its workers.
fn outcome(fleet: &mut Fleet) -> (usize, Vec<String>, Vec<String>) {
    fleet.update_suspicions(agate_core::Moment::ZERO);
    fleet.place();
    let mut orders: Vec<String> = fleet
        .newest_orders()
        .iter()
        .map(|order| format!("{} {order:?}", order.task))
        .collect();
    orders.sort_unstable();
    let mut suspicions = std::collections::BTreeMap::new();
    for suspicion in fleet.suspicions() {
        suspicions.insert(suspicion.incarnation.name.clone(), format!("{suspicion:?}"));
    }
    let suspicions = suspicions.into_values().collect();
    (fleet.scheduler.bound_runs(), orders, suspicions)
}

fn in_state(name: &str, state: WorkerState) -> WorkerReport {
    WorkerReport {
        state,
        acked_suspicion: 1,
        ..report(name, 1)
    }
}

fn acknowledging(name: &str) -> WorkerReport {
    in_state(name, WorkerState::Ready)
}

fn successor_of(name: &str) -> WorkerReport {
    WorkerReport {
        address: report(name, 1).address,
        ..report("z", 9)
    }
}

/// Removes the report on worker `a`, as a table lacks it that was loaded while an unreadable record had replaced it.
fn hide_report(fleet: &mut Fleet) {
    fleet.table.fold(Record::tombstone("w/a".to_owned()));
    fleet.take_over();
}

/// The runs of a worker whose report could not be read were dropped as if they had ended, and bound again beside it
/// (TWICE, review/7). They stay bound until their leases have surely lapsed.
#[test]
fn runs_of_a_worker_without_a_report_stay_bound_until_their_leases_have_lapsed() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(2)]));
    assert_eq!(fleet.place().len(), 2);
    hide_report(&mut fleet);
    assert_eq!(fleet.scheduler.take_unlisted(), ["a"]);
    let began = fleet.now;
    let lapses_at = began + SUSPECT_AFTER + LEASE;
    while fleet.now < lapses_at {
        fleet.fold(Record::new(Body::Worker(report("b", 1))));
        assert!(fleet.place().is_empty(), "{:?}", fleet.now.since(began));
        fleet.advance(Duration::from_millis(100));
    }
    fleet.fold(Record::new(Body::Worker(report("b", 1))));
    fleet.advance(EXPIRY.saturating_sub(LEASE));
    let placed = fleet.place().into_iter();
    let placed: Vec<_> = placed.map(|p| (p.run, p.worker)).collect();
    assert_eq!(placed, [(2, "b".to_owned()), (2, "b".to_owned())]);
}

/// The worker is known again once its agent reports, and its runs go on.
#[test]
fn runs_of_a_worker_without_a_report_go_on_once_it_reports() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(2)]));
    assert_eq!(fleet.place().len(), 2);
    hide_report(&mut fleet);
    fleet.advance(Duration::from_millis(800));
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    for _ in 0..30 {
        assert!(fleet.place().is_empty());
        fleet.advance(Duration::from_millis(500));
        fleet.fold(Record::new(Body::Worker(report("a", 1))));
    }
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    fleet.fold(ended(task(1, 0, 1), 1, EndCause::Done, "a"));
    assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Completed));
    fleet.fold(submitted(2, vec![step(4)]));
    assert_eq!(fleet.place().len(), 4, "its room is free again");
}

/// Orders without an open run don't make a worker known: it would be suspected again and again.
#[test]
fn a_worker_whose_runs_have_ended_is_not_known_by_its_orders() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet
        .table
        .fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    hide_report(&mut fleet);
    assert!(fleet.scheduler.take_unlisted().is_empty());
    assert!(!fleet.scheduler.is_bound(JobId(1)));
}
