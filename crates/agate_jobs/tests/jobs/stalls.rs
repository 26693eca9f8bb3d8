//! Jobs whose runs stall on every worker.

use std::time::Duration;

use agate_core::Moment;
use agate_jobs::record::Body;
use agate_jobs::{BatchOrder, EndCause, Record, StepSpec};
use rstest::rstest;

use crate::fleet::Fleet;
use crate::support::{ended, report, step, submitted};

/// Time after which an agent stops a run that makes no progress.
const STALL_TIME: Duration = Duration::from_millis(1_200);

/// Rounds of a play. In the middle, the other jobs are submitted.
const ROUNDS: u32 = 60;

/// Plays rounds in which the runs of job 1 stall and others end after 1 s. Returns how many tasks of other
/// jobs are bound within 3 s.
fn bound_beside_stalls(workers: u32, others: u64, order: BatchOrder) -> usize {
    let names: Vec<String> = (0..workers).map(|at| format!("w{at}")).collect();
    let reports: Vec<_> = names.iter().map(|name| report(name, 1)).collect();
    let mut fleet = Fleet::new(&reports);
    fleet.scheduler.set_batch_order(order);
    let tasks = |tasks| StepSpec {
        best_effort: order == BatchOrder::Backlog,
        ..step(tasks)
    };
    // A core of each worker stays free.
    fleet.fold(submitted(1, vec![tasks(3 * workers)]));
    let mut runs: Vec<(Moment, Record)> = Vec::new();
    let mut bound = 0;
    for round in 0..ROUNDS {
        fleet.advance(Duration::from_millis(100));
        for report in &reports {
            fleet.fold(Record::new(Body::Worker(report.clone())));
        }
        let now = fleet.now;
        for (_, end) in runs.extract_if(.., |(at, _)| *at <= now) {
            fleet.fold(end);
        }
        if round == ROUNDS / 2 {
            for job in 2..2 + others {
                let mut later = submitted(job, vec![tasks(1)]);
                if let Some(Body::Submitted { policy, .. }) = &mut later.body {
                    policy.priority = 1;
                }
                fleet.fold(later);
            }
        }
        for placed in fleet.place() {
            let stalls = placed.task.job.0 == 1;
            bound += usize::from(!stalls);
            let (time, cause) = if stalls {
                (STALL_TIME, EndCause::Stalled)
            } else {
                (Duration::from_secs(1), EndCause::Done)
            };
            let end = ended(placed.task, placed.run, cause, &placed.worker);
            runs.push((now + time, end));
        }
    }
    bound
}

/// Each probe of a worker on probation was one of the job that stalls, so other jobs waited for as long as
/// that one was open.
#[rstest]
#[case::one_worker(1, 1, BatchOrder::Urgency)]
#[case::several(3, 3, BatchOrder::Urgency)]
#[case::by_a_plan(3, 3, BatchOrder::Backlog)]
fn other_jobs_run_beside_one_that_stalls_everywhere(
    #[case] workers: u32,
    #[case] others: u64,
    #[case] order: BatchOrder,
) {
    let bound = bound_beside_stalls(workers, others, order);
    assert_eq!(bound as u64, others);
}
