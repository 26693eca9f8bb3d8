//! Evidence that a job has started.

use std::time::Duration;

use agate_core::JobId;
use agate_jobs::record::Body;
use agate_jobs::{
    EndCause, JobState, JobTable, OrderKind, Record, RunEnd, WorkerReport, WorkerState,
};

use crate::fleet::Fleet;
use crate::support::{report, step, submitted, task};

fn started(job: u64) -> Record {
    Record::new(Body::Worker(WorkerReport {
        started_jobs: vec![JobId(job)],
        ..report("a", 1)
    }))
}

fn first_flags(fleet: &Fleet) -> Vec<bool> {
    let orders = fleet.issued_orders().into_iter();
    orders
        .filter_map(|order| match order.kind {
            OrderKind::Start { first, .. } => Some(first),
            OrderKind::Stop { .. } => None,
        })
        .collect()
}

/// A job counted as started as soon as its tasks were bound. While the agent of the worker was
/// stopped, nobody carried out the orders (kehilla-seats, agents-leave 6, MIXED).
#[test]
fn a_job_is_queued_until_an_agent_reports_its_start() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    assert_eq!(fleet.place().len(), 1);
    assert!(fleet.scheduler.take_started_jobs().is_empty());
    assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Queued));
    fleet.fold(started(1));
    assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Running));
    assert_eq!(fleet.table.pending("moves"), 0);
    // The next report replaces the one with the evidence, so the leader lists it too.
    assert_eq!(fleet.scheduler.take_started_jobs(), [JobId(1)]);
}

#[test]
fn a_job_whose_first_run_is_rejected_stays_queued() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    for (run, cause) in [EndCause::NoRoom, EndCause::Refused, EndCause::Untraced]
        .into_iter()
        .enumerate()
    {
        assert_eq!(fleet.place().len(), 1);
        fleet.fold(Record::new(Body::Ended(RunEnd {
            task: task(1, 0, 0),
            run: u32::try_from(run).expect("there are few") + 1,
            cause,
            checkpoint: String::new(),
            worker: "a".to_owned(),
            ran_ms: 0,
            loss: None,
            crash: None,
        })));
        assert!(fleet.scheduler.take_started_jobs().is_empty());
        assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Queued));
        // The worker is not used for a while after it has rejected a start.
        fleet.now = fleet.now + Duration::from_secs(10);
    }
}

/// Agents report the starts of queued jobs only: reports must not grow with each task.
#[test]
fn orders_ask_for_evidence_until_the_job_has_started() {
    let mut fleet = Fleet::new(&[report("a", 1), report("b", 1)]);
    fleet.fold(submitted(1, vec![step(1), step(1)]));
    fleet.place();
    assert_eq!(first_flags(&fleet), [true, true]);
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    fleet.fold(started(1));
    fleet.place();
    assert_eq!(first_flags(&fleet), [false]);
}

/// An append may take effect late, and a submission that is recorded again moves behind the other
/// records of its job.
#[test]
fn a_start_counts_whatever_the_order_of_the_records() {
    let mut table = JobTable::default();
    table.fold(submitted(1, vec![step(1)]));
    table.fold(Record::new(Body::Worker(WorkerReport {
        state: WorkerState::Gone,
        ..report("a", 1)
    })));
    table.fold(started(1));
    assert_eq!(table.state(JobId(1)), Some(JobState::Running));
    table.fold(started(2));
    table.fold(submitted(2, vec![step(1)]));
    assert_eq!(table.state(JobId(2)), Some(JobState::Running));
    table.fold(Record::new(Body::Worker(report("a", 1))));
    assert_eq!(table.pending("moves"), 0);
}

/// A leader that has loaded the table holds only the newest heartbeat and reports.
#[test]
fn a_new_leader_learns_from_open_orders_that_a_job_has_started() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    fleet.fold(submitted(2, vec![step(1)]));
    fleet.fold(started(1));
    fleet.place();
    fleet.fold(Record::new(Body::Worker(report("a", 1))));
    fleet.take_over();
    assert_eq!(fleet.scheduler.take_started_jobs(), [JobId(1)]);
}

/// Records of earlier versions have no fields for starts.
#[test]
fn a_report_without_started_jobs_is_read() {
    let record = Record::new(Body::Worker(report("a", 1)));
    let value = record.value().expect("the record can be encoded");
    assert!(!String::from_utf8_lossy(&value).contains("begun"));
    let read = Record::parse(record.key.clone(), &value).expect("the record is valid");
    assert_eq!(read, record);
}

/// An order of an earlier version was listed as a start by the leader that wrote it.
#[test]
fn an_order_without_a_request_for_evidence_is_read() {
    let mut fleet = Fleet::new(&[report("a", 1)]);
    fleet.fold(submitted(1, vec![step(1)]));
    fleet.fold(started(1));
    fleet.place();
    let order = fleet.newest_orders().remove(0);
    let record = Record::new(Body::Order(order));
    let value = record.value().expect("the record can be encoded");
    assert!(!String::from_utf8_lossy(&value).contains("first"));
    let read = Record::parse(record.key.clone(), &value).expect("the record is valid");
    assert_eq!(read, record);
}
