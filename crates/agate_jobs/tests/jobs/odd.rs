//! Records of another writer, whose contents no part of the system would write.

use agate_core::{JobId, Moment, Resources};
use agate_jobs::plan::Scheduler;
use agate_jobs::record::Body;
use agate_jobs::table::Change;
use agate_jobs::{
    EndCause, JobSpec, JobState, JobTable, LeaderHeartbeat, Order, OrderKind, QueuePolicy, Record,
    RecordError, Repeat, StepSpec, SuspicionRecord, TaskKey, WorkerIncarnation, WorkerReport,
};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::support::{ended, policy, report, step, submitted, task};

fn reparse(record: &Record) -> Result<Record, RecordError> {
    let value = record.value().expect("the record can be encoded");
    Record::parse(record.key.clone(), &value)
}

fn job_record(spec: JobSpec, policy: QueuePolicy) -> Record {
    Record::new(Body::Submitted {
        job: JobId(7),
        spec,
        policy,
        at_ms: 1_000,
    })
}

fn spec(steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        steps,
        ..JobSpec::default()
    }
}

fn repeated(steps: Vec<StepSpec>, repeat: Repeat) -> JobSpec {
    JobSpec {
        repeat: Some(repeat),
        ..spec(steps)
    }
}

const HOURLY: Repeat = Repeat {
    first_ms: 0,
    every_ms: 3_600_000,
    times: 1,
};

/// Guards against an allocation of hundreds of gigabytes and against sums that overflow.
#[rstest]
#[case::tasks(spec(vec![step(u32::MAX)]))]
#[case::occurrences(repeated(vec![step(1)], Repeat { times: u32::MAX, ..HOURLY }))]
#[case::occurrences_without_tasks(repeated(vec![step(0)], Repeat { times: u32::MAX, ..HOURLY }))]
#[case::no_steps(spec(Vec::new()))]
#[case::after_itself(spec(vec![StepSpec { after: vec![0], ..step(1) }]))]
#[case::estimate(spec(vec![StepSpec { estimate_ms: u64::MAX, ..step(1) }]))]
#[case::target(spec(vec![StepSpec { target_ms: u64::MAX, ..step(1) }]))]
#[case::due(repeated(vec![step(1)], Repeat { first_ms: u64::MAX, ..HOURLY }))]
#[case::interval(repeated(vec![step(1)], Repeat { every_ms: u64::MAX, ..HOURLY }))]
fn a_job_out_of_bounds_is_neither_accepted_nor_read(#[case] spec: JobSpec) {
    spec.validate().expect_err("the job is out of bounds");
    reparse(&job_record(spec, policy())).expect_err("its record is invalid");
}

#[test]
fn a_job_at_the_bounds_is_placed_without_overflow() {
    let most = StepSpec {
        estimate_ms: 10 * 366 * 86_400_000,
        ..step(2)
    };
    let steps = vec![
        most.clone(),
        StepSpec {
            after: vec![0],
            ..most
        },
    ];
    let policy = QueuePolicy {
        stretch_milli: 1_000_000,
        slack_ms: 10 * 366 * 86_400_000,
        ..policy()
    };
    let mut table = JobTable::default();
    for record in [
        job_record(spec(steps), policy),
        Record::new(Body::Worker(report("w1", 5))),
    ] {
        table.fold(reparse(&record).expect("the record is valid"));
    }
    let mut scheduler = Scheduler::default();
    let change = Change::Worker("w1".to_owned());
    scheduler.apply(&table, &change, Moment::ZERO);
    let placed = scheduler.place(&table, Moment::from_millis(1), u64::MAX);
    assert_eq!(placed.len(), 2);
}

/// A record under another key would replace what is known of that key in the log.
#[test]
fn contents_under_another_key_are_an_error() {
    let value = submitted(7, vec![step(1)])
        .value()
        .expect("it can be encoded");
    let error = Record::parse("j/0000000000000008".to_owned(), &value);
    assert_eq!(
        error.expect_err("the key differs").key,
        "j/0000000000000008"
    );
}

fn heartbeat(epoch: u64, entry: &str) -> Record {
    Record::new(Body::Leader(LeaderHeartbeat {
        epoch,
        entry: entry.to_owned(),
        resigns: false,
        started_jobs: Vec::new(),
        suspects: Vec::new(),
    }))
}

/// No later claim could exceed such an epoch.
#[rstest]
#[case(heartbeat(u64::MAX, "e1"))]
#[case(heartbeat(u64::MAX >> 1, "e1"))]
#[case(heartbeat(1_700_000_000_000, "e1"))]
#[case(heartbeat(0, "e1"))]
#[case(heartbeat(1, ""))]
fn a_heartbeat_that_no_leader_sends_is_an_error(#[case] record: Record) {
    reparse(&record).expect_err("no leader sends it");
}

/// The log takes the appends of one entry only in each epoch.
#[test]
fn a_heartbeat_of_another_entry_in_the_same_epoch_is_ignored() {
    let mut table = JobTable::default();
    for (epoch, entry, leader) in [(3, "e1", "e1"), (3, "e2", "e1"), (4, "e2", "e2")] {
        table.fold(heartbeat(epoch, entry));
        assert_eq!(table.leader().entry, leader, "after {entry} in {epoch}");
    }
}

fn incarnation(started_ms: u64, term: u32) -> WorkerIncarnation {
    WorkerIncarnation {
        term,
        ..report("w1", started_ms).incarnation
    }
}

fn reported(incarnation: WorkerIncarnation, acked_suspicion: u64, heartbeat: u64) -> Record {
    Record::new(Body::Worker(WorkerReport {
        incarnation,
        acked_suspicion,
        heartbeat,
        ..report("w1", 5)
    }))
}

fn suspicion(incarnation: WorkerIncarnation, number: u64) -> Record {
    Record::new(Body::Suspicion(SuspicionRecord {
        incarnation,
        number,
        suspected: true,
    }))
}

fn stop_order(incarnation: WorkerIncarnation) -> Record {
    Record::new(Body::Order(Order {
        incarnation,
        task: task(1, 0, 0),
        run: 1,
        kind: OrderKind::Stop {
            demand: Resources::ZERO,
            best_effort: false,
        },
    }))
}

/// Each of these only ever rises, so the next one of the system would overflow or be outdated.
#[rstest]
#[case::term(reported(incarnation(5, u32::MAX), 0, 1))]
#[case::start(reported(incarnation(u64::MAX, 0), 0, 1))]
#[case::acknowledged(reported(incarnation(5, 0), u64::MAX, 1))]
#[case::heartbeat(reported(incarnation(5, 0), 0, u64::MAX))]
#[case::term_of_a_suspicion(suspicion(incarnation(5, u32::MAX), 1))]
#[case::start_of_a_suspicion(suspicion(incarnation(u64::MAX, 0), 1))]
#[case::suspicion(suspicion(incarnation(5, 0), u64::MAX))]
#[case::term_of_an_order(stop_order(incarnation(5, u32::MAX)))]
#[case::no_name(Record::new(Body::Worker(report("", 5))))]
fn a_counter_that_none_can_reach_is_an_error(#[case] record: Record) {
    reparse(&record).expect_err("no counter gets there");
}

/// The tasks of a worker may ask for more than the type of an amount holds.
#[test]
fn the_largest_demands_do_not_overflow_the_sums_of_a_worker() {
    let half = StepSpec {
        demand: Resources::new(u32::MAX / 2, 1, 0),
        ..step(1)
    };
    let long_running = StepSpec {
        long_running: true,
        ..half.clone()
    };
    let best_effort = StepSpec {
        best_effort: true,
        ..half.clone()
    };
    let mut fleet = Fleet::new(&[WorkerReport {
        capacity: Resources::new(u32::MAX, 1_000, 0),
        ..report("w1", 5)
    }]);
    for (job, step) in [long_running, best_effort.clone(), half, best_effort]
        .into_iter()
        .enumerate()
    {
        fleet.fold(submitted(job as u64, vec![step]));
        let placed = fleet.place().len();
        assert_eq!(placed, usize::from(job < 3), "of job {job}");
    }
}

/// An end that no bound run can have had would free its place for a second run, and the next run would
/// have no number.
#[rstest]
#[case::last_run(ended(task(1, 0, 0), u32::MAX, EndCause::Lost, "w1"))]
#[case::far_run(ended(task(1, 0, 0), 5_000, EndCause::Done, "w1"))]
#[case::no_run(ended(task(1, 0, 0), 0, EndCause::Done, "w1"))]
#[case::index(ended(task(1, 0, u32::MAX), 1, EndCause::Done, "w1"))]
#[case::step(ended(task(1, u32::MAX, 0), 1, EndCause::Done, "w1"))]
fn an_end_of_a_run_that_never_was_ends_none(
    #[case] odd: Record,
    #[values(false, true)] gang: bool,
) {
    let mut fleet = Fleet::new(&[report("w1", 5)]);
    fleet.fold(submitted(1, vec![StepSpec { gang, ..step(1) }]));
    assert_eq!(fleet.place().len(), 1);
    if let Ok(odd) = reparse(&odd) {
        let change = fleet.table.fold(odd);
        assert!(matches!(change, Change::Rejected(_)), "{change:?}");
        fleet.scheduler.apply(&fleet.table, &change, fleet.now);
    }
    assert_eq!(fleet.place().len(), 0, "the run is still bound");
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "w1"));
    assert_eq!(fleet.table.state(JobId(1)), Some(JobState::Completed));
}

/// A new leader that restores such an order waits for the end of a run that nobody runs.
#[rstest]
#[case::run(task(1, 0, 0), u32::MAX)]
#[case::far_run(task(1, 0, 0), 5_000)]
#[case::index(task(1, 0, 7), 1)]
#[case::occurrence(TaskKey { occurrence: 3, ..task(1, 0, 0) }, 1)]
fn an_order_that_no_leader_gives_is_not_restored(#[case] task: TaskKey, #[case] run: u32) {
    let mut fleet = Fleet::new(&[report("w1", 5)]);
    fleet.fold(submitted(1, vec![step(1)]));
    let order = stop_order(incarnation(5, 0));
    if let Some(Body::Order(order)) = order.body {
        let order = Order { task, run, ..order };
        fleet.orders.push(Record::new(Body::Order(order)));
    }
    fleet.take_over();
    assert_eq!(fleet.place().len(), 1, "the task is bound");
}

/// What another writer repeats under one key would fill the memory of each entry.
#[rstest]
#[case::the_same_end(1, |_| ended(task(1, 0, 0), 1, EndCause::Done, "w1"))]
#[case::started(100_000, |job| Record::new(Body::Worker(WorkerReport {
    started_jobs: vec![JobId(job)],
    ..report("w1", 5)
})))]
fn repeated_events_of_unknown_jobs_are_bounded(
    #[case] most: usize,
    #[case] record: fn(u64) -> Record,
) {
    let mut table = JobTable::default();
    for job in 0..120_000 {
        table.fold(record(job));
    }
    assert_eq!(table.early_events(), most);
}

fn closed(state: JobState, at_ms: u64) -> Record {
    Record::new(Body::Closed {
        job: JobId(1),
        queue: "moves".to_owned(),
        state,
        at_ms,
    })
}

/// A job is closed in a final state, and its record is dropped some time after that.
#[rstest]
#[case(closed(JobState::Queued, 1_000))]
#[case(closed(JobState::Running, 1_000))]
#[case(closed(JobState::Failed, u64::MAX))]
fn a_closing_that_no_leader_writes_is_an_error(#[case] record: Record) {
    reparse(&record).expect_err("no leader writes it");
}

/// The runs of a job that is no longer known would occupy their workers for ever.
#[test]
fn the_runs_of_a_job_that_another_writer_closes_are_stopped() {
    let mut fleet = Fleet::new(&[report("w1", 5)]);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    fleet.fold(submitted(1, vec![long_running]));
    assert_eq!(fleet.place().len(), 1);
    fleet.fold(closed(JobState::Cancelled, 1_000));
    let orders = fleet.issued_orders();
    let last = orders.last().map(|order| &order.kind);
    assert!(matches!(last, Some(OrderKind::Stop { .. })), "{last:?}");
}
