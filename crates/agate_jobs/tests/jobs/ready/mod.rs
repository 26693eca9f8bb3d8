//! Ready work is bound in time once the faults are over.
//!
//! Random series of jobs, ends, reports and decisions leave the scheduler in some state. Then the
//! machines recover, or some of them stay away, and nothing else fails. No task may be passed over beside
//! room for it on the others.

mod cluster;
mod event;
mod room;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_core::Moment;
use agate_jobs::{BatchOrder, TaskKey};
use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;

use crate::odd_messages::config;
use cluster::Cluster;
use event::{Event, event};

/// Time after a fault for which the rules of the platform expect nothing.
const QUIET: Duration = Duration::from_secs(3);

/// Longest time for which the rules of the platform allow a ready task to wait beside room.
const BOUND: Duration = Duration::from_secs(3);

/// Time for which the cluster is observed after the faults.
const OBSERVED: Duration = Duration::from_secs(14);

/// Times since which something has been so without a break.
#[derive(Default)]
struct Since(BTreeMap<TaskKey, Moment>);

impl Since {
    /// Returns a task that has been among `tasks` for longer than the bound.
    fn update(&mut self, tasks: BTreeSet<TaskKey>, now: Moment) -> Option<TaskKey> {
        self.0.retain(|task, _| tasks.contains(task));
        for task in tasks {
            self.0.entry(task).or_insert(now);
        }
        let late = |since: Moment| now.since(since) > BOUND;
        let mut late = self.0.iter().filter(|(_, since)| late(**since));
        late.next().map(|(task, _)| *task)
    }
}

fn play(mut cluster: Cluster, events: &[Event], lost: u8) -> Result<(), TestCaseError> {
    for event in events {
        cluster.apply(event);
    }
    cluster.recover(lost);
    let recovered_at = cluster.now();
    let (mut waits, mut dead) = (Since::default(), Since::default());
    while cluster.now().since(recovered_at) < OBSERVED {
        cluster.round();
        let now = cluster.now();
        let bound = cluster.orders().count();
        prop_assert_eq!(
            cluster.fleet.scheduler.bound_runs(),
            bound,
            "runs and orders"
        );
        if now.since(recovered_at) < QUIET {
            continue;
        }
        let late = waits.update(room::passed_over(&cluster), now);
        prop_assert!(
            late.is_none(),
            "{} waits beside room",
            late.expect("it is set")
        );
        let late = dead.update(room::dead_orders(&cluster), now);
        prop_assert!(late.is_none(), "{} stays bound", late.expect("it is set"));
    }
    Ok(())
}

/// Returns the number of cases: `PROPTEST_CASES`, or as many as take some seconds.
fn cases() -> u32 {
    let cases = std::env::var("PROPTEST_CASES").ok();
    cases.and_then(|cases| cases.parse().ok()).unwrap_or(400)
}

proptest! {
    #![proptest_config(ProptestConfig { max_shrink_iters: 40_000, ..config(cases()) })]

    /// State that a series of faults left behind kept tasks from workers with room.
    #[test]
    fn ready_tasks_are_bound_in_time_after_any_series(
        events in vec(event(), 1..40),
        machines in 1_usize..6,
        backlog: bool,
        run_times in prop_oneof![vec(select(vec![0, 100, 400, 1_500, 3_000]), 5), Just(vec![0])],
        limit in select(vec![8, 1_000]),
        lost in prop_oneof![2 => Just(0), 1 => any::<u8>()],
    ) {
        let order = if backlog { BatchOrder::Backlog } else { BatchOrder::Urgency };
        play(Cluster::new(machines, order, run_times, limit), &events, lost)?;
    }
}
