//! Tests of workers whose agents fall silent, and of workers that leave or restart.

use std::time::Duration;

use agate_core::Moment;
use agate_jobs::record::Body;
use agate_jobs::{
    AgentState, EndCause, Record, SuspicionRecord, WorkerIncarnation, WorkerReport, WorkerState,
};

use crate::fleet::{Fleet, LEASE};
use crate::support::{ended, report, step, submitted, task};

pub(crate) fn fleet_with_one_run() -> Fleet {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet
}

pub(crate) fn placements(fleet: &mut Fleet) -> Vec<(String, u32)> {
    let placed = fleet.place().into_iter();
    placed.map(|placed| (placed.worker, placed.run)).collect()
}

#[test]
fn a_silent_worker_keeps_its_runs_until_its_lease_has_lapsed() {
    let mut fleet = fleet_with_one_run();
    fleet.advance(Duration::from_secs(2));
    assert!(fleet.suspicions()[0].suspected);
    for _ in 0..LEASE.as_secs() {
        fleet.fold(Record::new(Body::Worker(report("b", 2))));
        fleet.advance(Duration::from_secs(1));
    }
    assert!(
        placements(&mut fleet).is_empty(),
        "the lease may not have lapsed yet"
    );
    fleet.fold(Record::new(Body::Worker(report("b", 2))));
    fleet.advance(Duration::from_millis(400));
    assert_eq!(placements(&mut fleet), [("b".to_owned(), 2)]);
    assert_eq!(
        fleet.suspicions().last().map(|s| s.incarnation.term),
        Some(1)
    );
}

#[test]
fn a_worker_keeps_its_runs_if_its_agent_acknowledges_the_suspicion() {
    let mut fleet = fleet_with_one_run();
    fleet.advance(Duration::from_secs(2));
    let mut answer = report("a", 1);
    answer.acked_suspicion = 1;
    fleet.fold(Record::new(Body::Worker(answer)));
    fleet.advance(Duration::from_millis(1));
    assert!(!fleet.suspicions()[1].suspected);
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.scheduler.bound_runs(), 1);
}

/// An append that took effect late replaced the acknowledgement, so that the agent could not renew
/// the lease until its next report.
#[rstest::rstest]
#[case::earlier_acknowledgement(0, 0)]
#[case::earlier_term(1, 1)]
fn an_older_report_that_is_recorded_late_does_not_replace_the_acknowledgement(
    #[case] term: u32,
    #[case] late_acked: u64,
) {
    let mut fleet = Fleet::new(&[WorkerReport {
        incarnation: WorkerIncarnation {
            term,
            ..report("a", 1).incarnation
        },
        ..report("a", 1)
    }]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet.advance(Duration::from_secs(2));
    let newest = fleet.suspicions().last().cloned().expect("it is suspected");
    let acknowledgement = WorkerReport {
        incarnation: newest.incarnation,
        acked_suspicion: newest.number,
        ..report("a", 1)
    };
    fleet.fold(Record::new(Body::Worker(acknowledgement)));
    let late = WorkerReport {
        acked_suspicion: late_acked,
        ..report("a", 1)
    };
    fleet.fold(Record::new(Body::Worker(late)));
    fleet.advance(Duration::from_millis(1));
    assert!(!fleet.suspicions().last().expect("it was").suspected);
}

/// An agent that has restarted may report the end of an incarnation before it knows the term.
#[test]
fn a_worker_that_leaves_is_gone_whatever_its_agent_has_acknowledged() {
    let mut fleet = fleet_with_one_run();
    fleet.advance(Duration::from_secs(2));
    let mut answer = report("a", 1);
    answer.acked_suspicion = 1;
    fleet.fold(Record::new(Body::Worker(answer)));
    let mut gone = report("a", 1);
    gone.state = WorkerState::Gone;
    fleet.fold(Record::new(Body::Worker(gone)));
    fleet.advance(Duration::from_millis(1));
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

#[test]
fn a_report_that_is_older_than_the_suspicion_does_not_clear_it() {
    let mut fleet = fleet_with_one_run();
    fleet.advance(Duration::from_secs(2));
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    fleet.advance(LEASE + Duration::from_millis(400));
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

#[test]
fn no_worker_is_suspected_until_the_log_has_been_read_for_a_while() {
    let mut fleet = fleet_with_one_run();
    fleet.now = fleet.now + Duration::from_secs(10);
    let since = fleet.now;
    fleet.scheduler.update_suspicions(fleet.now, since, LEASE);
    assert!(fleet.scheduler.take_effects().is_empty());
}

#[rstest::rstest]
#[case::restart_under_the_same_name(report("a", 9))]
#[case::lapse(lapsed())]
#[case::departure(gone())]
#[case::newer_worker_at_the_same_address(at_the_same_address())]
fn runs_are_released_immediately_on(#[case] new_report: agate_jobs::WorkerReport) {
    let mut fleet = fleet_with_one_run();
    fleet.fold(Record::new(Body::Worker(new_report)));
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

fn lapsed() -> agate_jobs::WorkerReport {
    agate_jobs::WorkerReport {
        state: WorkerState::Lapsed,
        ..report("a", 1)
    }
}

fn gone() -> agate_jobs::WorkerReport {
    agate_jobs::WorkerReport {
        state: WorkerState::Gone,
        ..report("a", 1)
    }
}

fn at_the_same_address() -> agate_jobs::WorkerReport {
    agate_jobs::WorkerReport {
        address: "a:1".to_owned(),
        ..report("z", 9)
    }
}

#[test]
fn an_older_worker_at_a_known_address_gets_no_tasks() {
    let mut fleet = Fleet::new(&[at_the_same_address()]);
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(placements(&mut fleet), [("z".to_owned(), 1)]);
}

#[test]
fn a_new_leader_restores_bindings_and_drops_orders_of_ended_runs() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(2)]));
    fleet.place();
    let orders = std::mem::take(&mut fleet.orders);
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    let mut successor = fleet.restore(orders);
    assert_eq!(successor.bound_runs(), 1);
    assert!(successor.place(&fleet.table, fleet.now, 1_000).is_empty());
    assert_eq!(successor.take_effects().len(), 1, "one order is dropped");
}

/// Machines are replaced all day, so the records of departed workers must not accumulate.
#[test]
fn records_of_a_departed_worker_are_dropped_once() {
    let mut fleet = fleet_with_one_run();
    fleet.fold(Record::new(Body::Worker(gone())));
    fleet.advance(Duration::from_secs(29));
    assert!(
        fleet.table.worker("a").is_some(),
        "a report may still be recorded late"
    );
    fleet.advance(Duration::from_secs(2));
    assert!(fleet.table.worker("a").is_none());
    let dropped = |record: &Record| record.key == "s/a" && record.body.is_none();
    assert_eq!(
        fleet.orders.iter().filter(|record| dropped(record)).count(),
        1
    );
    fleet.advance(Duration::from_millis(100));
    assert_eq!(
        fleet.orders.iter().filter(|record| dropped(record)).count(),
        1
    );
    fleet.fold(Record::new(Body::Worker(report("a", 9))));
    assert_eq!(placements(&mut fleet), [("a".to_owned(), 2)]);
}

/// Appends of agents may take effect late, so a report of any state and age can be the newest one
/// at a takeover.
fn reports_at_takeover() -> Vec<WorkerReport> {
    let states = [
        WorkerState::Ready,
        WorkerState::Draining,
        WorkerState::Lapsed,
    ];
    let incarnations = [(1, 0), (1, 1), (2, 0), (2, 1)];
    let combined = incarnations
        .iter()
        .flat_map(|incarnation| states.iter().map(move |state| (*incarnation, *state)));
    combined
        .map(|((started_ms, term), state)| WorkerReport {
            incarnation: incarnation(started_ms, term),
            state,
            ..report("a", started_ms)
        })
        .collect()
}

fn incarnation(started_ms: u64, term: u32) -> WorkerIncarnation {
    WorkerIncarnation {
        name: "a".to_owned(),
        started_ms,
        term,
    }
}

fn suspicion_record(started_ms: u64, term: u32, suspected: bool) -> Record {
    Record::new(Body::Suspicion(SuspicionRecord {
        incarnation: incarnation(started_ms, term),
        number: 3,
        suspected,
    }))
}

/// Returns the newest incarnation of worker `a` that its reports or the order streams name. Its
/// agent has adopted it.
fn agent_incarnation(reports: &[WorkerReport], orders: &[Record]) -> WorkerIncarnation {
    let recorded = orders.iter().filter_map(|record| match &record.body {
        Some(Body::Suspicion(suspicion)) => Some(suspicion.incarnation.clone()),
        Some(Body::Order(order)) => Some(order.incarnation.clone()),
        _ => None,
    });
    let reported = reports.iter().map(|report| report.incarnation.clone());
    recorded.chain(reported).max().unwrap_or_default()
}

/// A new leader applied reports before recorded suspicions. A report of a lapsed lease raised the
/// term on record, and the recorded suspicion lowered it again in memory. Orders of the lower term
/// were never executed (kra-pricing, late-everything 7919, LOST).
#[rstest::rstest]
#[case::no_suspicion(None)]
#[case::cleared(Some((1, 0, false)))]
#[case::open(Some((1, 0, true)))]
#[case::raised(Some((1, 1, false)))]
#[case::open_after_a_raise(Some((1, 1, true)))]
#[case::earlier_incarnation(Some((1, 2, true)))]
#[case::current_incarnation(Some((2, 1, false)))]
fn after_a_takeover_every_order_is_for_the_term_of_its_agent(
    #[case] recorded: Option<(u64, u32, bool)>,
) {
    for at_takeover in reports_at_takeover() {
        for late in reports_at_takeover() {
            let mut fleet = Fleet::new(std::slice::from_ref(&at_takeover));
            fleet.fold(submitted(1, vec![step(2)]));
            fleet.orders = recorded
                .map(|(started, term, suspected)| suspicion_record(started, term, suspected))
                .into_iter()
                .collect();
            fleet.take_over();
            fleet.fold(Record::new(Body::Worker(late.clone())));
            fleet.place();
            let reports = [at_takeover.clone(), late];
            let agent = agent_incarnation(&reports, &fleet.orders);
            let current = WorkerReport {
                incarnation: agent.clone(),
                acked_suspicion: 100,
                ..report("a", agent.started_ms)
            };
            fleet.fold(Record::new(Body::Worker(current)));
            fleet.advance(Duration::from_millis(100));
            fleet.place();
            assert_eq!(fleet.scheduler.bound_runs(), 2, "{reports:?}");
            let agent = agent_incarnation(&reports, &fleet.orders);
            let newest = fleet.newest_orders();
            assert!(
                newest.iter().all(|order| order.incarnation == agent),
                "{reports:?}: the agent of {agent} does not execute {newest:?}"
            );
        }
    }
}

/// A late report of an earlier incarnation must not end the runs of the current one.
#[rstest::rstest]
#[case::ready(WorkerState::Ready)]
#[case::lapsed(WorkerState::Lapsed)]
#[case::gone(WorkerState::Gone)]
fn a_late_report_of_an_earlier_incarnation_ends_no_run_at_a_takeover(#[case] state: WorkerState) {
    let mut fleet = Fleet::new(&[report("a", 2)]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    fleet.reload_worker(WorkerReport {
        state,
        ..report("a", 1)
    });
    fleet.take_over();
    assert_eq!(fleet.scheduler.bound_runs(), 1);
    fleet.fold(Record::new(Body::Worker(report("a", 2))));
    fleet.advance(Duration::from_secs(1));
    assert_eq!(fleet.scheduler.bound_runs(), 1);
}

/// The runs of a worker that is lost together with its last report must not wait for it forever.
#[test]
fn a_silent_worker_is_suspected_although_its_report_is_of_an_earlier_incarnation() {
    let mut fleet = Fleet::new(&[report("a", 2)]);
    fleet.fold(submitted(1, vec![step(1)]));
    fleet.place();
    fleet.reload_worker(report("a", 1));
    fleet.take_over();
    fleet.advance(Duration::from_secs(2));
    fleet.advance(LEASE + Duration::from_millis(400));
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

/// After an outage of the log that lasts longer than a silent worker is remembered, the runs bound
/// to workers that were lost meanwhile still have to continue.
#[test]
fn a_worker_lost_in_a_long_outage_is_suspected() {
    let mut fleet = fleet_with_one_run();
    fleet.now = fleet.now + Duration::from_mins(1);
    let reading_since = fleet.now;
    for _ in 0..12 {
        fleet.now = fleet.now + Duration::from_secs(1);
        fleet.update_suspicions(reading_since);
    }
    assert_eq!(fleet.scheduler.bound_runs(), 0);
}

/// A report that is recorded after the departure of its worker must not bring the worker back.
#[rstest::rstest]
#[case::soon(Duration::from_millis(100))]
#[case::after_ten_seconds(Duration::from_secs(10))]
fn a_late_report_does_not_bring_back_a_departed_worker(#[case] delay: Duration) {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(Record::new(Body::Worker(gone())));
    fleet.advance(delay);
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    fleet.fold(submitted(1, vec![step(1)]));
    assert!(fleet.place().is_empty());
    fleet.take_over();
    assert!(fleet.place().is_empty());
}

#[test]
fn a_report_of_a_higher_term_is_adopted() {
    let mut fleet = fleet_with_one_run();
    let raised = WorkerReport {
        incarnation: incarnation(1, 1),
        ..report("a", 1)
    };
    fleet.fold(Record::new(Body::Worker(raised)));
    assert_eq!(placements(&mut fleet), [("a".to_owned(), 2)]);
    let newest = fleet.newest_orders();
    assert!(newest.iter().all(|order| order.incarnation.term == 1));
}

/// The runs of a stopped agent waited for its silence besides the lease (LOST on
/// thistle-orders-grown).
#[test]
fn a_worker_whose_agent_has_stopped_is_suspected_at_once() {
    let mut fleet = fleet_with_one_run();
    let stopped = WorkerReport {
        agent: AgentState::Stopped,
        ..report("a", 1)
    };
    fleet.fold(Record::new(Body::Worker(stopped)));
    fleet.advance(Duration::from_millis(1));
    assert!(fleet.suspicions()[0].suspected);
    assert_eq!(fleet.scheduler.bound_runs(), 1, "its lease has not lapsed");
}

#[rstest::rstest]
#[case::stopping(AgentState::Stopping)]
#[case::stopped(AgentState::Stopped)]
fn nothing_is_bound_to_a_worker_whose_agent_stops(#[case] agent: AgentState) {
    let mut fleet = Fleet::new(&[WorkerReport {
        agent,
        ..report("a", 1)
    }]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert!(fleet.place().is_empty());
    let mut next = report("a", 1);
    next.acked_suspicion = 1;
    fleet.fold(Record::new(Body::Worker(next)));
    assert_eq!(fleet.place().len(), 1, "the next agent serves");
}

#[test]
fn a_stopping_agent_keeps_its_runs() {
    let mut fleet = fleet_with_one_run();
    let stopping = WorkerReport {
        agent: AgentState::Stopping,
        ..report("a", 1)
    };
    fleet.fold(Record::new(Body::Worker(stopping)));
    fleet.advance(Duration::from_secs(1));
    assert!(fleet.suspicions().is_empty());
}

/// Workers were suspected a second time before the ends of their runs were folded, which wrote
/// more records and raised their term again.
#[test]
fn a_settled_worker_is_not_suspected_again_while_its_ends_are_recorded() {
    let mut fleet = fleet_with_one_run();
    fleet.advance(Duration::from_secs(2));
    let now = fleet.now + LEASE + Duration::from_secs(1);
    let mut effects_at = |now| {
        fleet.scheduler.update_suspicions(now, Moment::ZERO, LEASE);
        fleet.scheduler.take_effects().len()
    };
    assert_eq!(effects_at(now), 2, "a suspicion and an end");
    assert_eq!(effects_at(now + Duration::from_millis(100)), 0);
}

/// A report of the agent that was appended late made the leader bind tasks to it after its stop.
#[rstest::rstest]
#[case::same_heartbeat(4, 0)]
#[case::later_heartbeat(5, 1)]
fn a_report_recorded_late_does_not_replace_that_the_agent_has_stopped(
    #[case] heartbeat: u64,
    #[case] placed: usize,
) {
    let reported = |agent, heartbeat| {
        Record::new(Body::Worker(WorkerReport {
            agent,
            heartbeat,
            ..report("a", 1)
        }))
    };
    let mut fleet = Fleet::default();
    fleet.fold(reported(AgentState::Stopped, 4));
    fleet.fold(reported(AgentState::Serving, heartbeat));
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), placed);
}

/// An agent that still read the suspicion while it exited made the leader count the lease again.
#[test]
fn an_agent_that_has_stopped_acknowledges_no_suspicion() {
    let mut fleet = fleet_with_one_run();
    let stopped = |acked_suspicion| {
        Record::new(Body::Worker(WorkerReport {
            agent: AgentState::Stopped,
            acked_suspicion,
            ..report("a", 1)
        }))
    };
    fleet.fold(stopped(0));
    fleet.advance(Duration::from_millis(1));
    fleet.fold(stopped(1));
    fleet.advance(Duration::from_millis(100));
    assert_eq!(fleet.suspicions().len(), 1);
    assert!(fleet.suspicions()[0].suspected);
}
