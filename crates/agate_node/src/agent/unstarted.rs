//! Runs that are ordered and not started. Reports list them, so that the leader doesn't wait for them.

use std::collections::HashMap;
use std::time::Duration;

use agate_jobs::{Order, OrderKind, TaskKey, UnstartedRun};
use tokio::time::Instant;

use super::managed::State;
use super::run::Phase;

/// Time after the order was read from which on a run is reported.
const REPORT_AFTER: Duration = Duration::from_secs(1);

/// Number of runs that a report lists, about 3 kB.
const MAX_LISTED: usize = 64;

/// The runs that are ordered and not started, and when their orders were first found.
#[derive(Debug, Default)]
pub(super) struct UnstartedRuns(HashMap<TaskKey, (u32, Instant)>);

impl UnstartedRuns {
    /// Returns the runs to report, the oldest order first.
    pub fn overdue(&self) -> Vec<UnstartedRun> {
        let runs = self.0.iter();
        let overdue = runs.filter(|(_, (_, since))| since.elapsed() >= REPORT_AFTER);
        let mut overdue: Vec<_> = overdue
            .map(|(task, (run, since))| (*since, *task, *run))
            .collect();
        overdue.sort_unstable();
        let listed = overdue.into_iter().take(MAX_LISTED);
        listed
            .map(|(_, task, run)| UnstartedRun { task, run })
            .collect()
    }
}

/// Updates the runs that are ordered and not started.
pub(super) fn update(state: &mut State) {
    let mut known = std::mem::take(&mut state.unstarted.0);
    if !state.has_listed {
        // A predecessor may have started any of them.
        return;
    }
    let orders = state.orders.values();
    let unstarted = orders.filter(|order| is_unstarted(state, order));
    let unstarted = unstarted.map(|order| {
        let same = known
            .remove(&order.task)
            .filter(|(run, _)| *run == order.run);
        (order.task, same.unwrap_or((order.run, Instant::now())))
    });
    state.unstarted.0 = unstarted.collect();
}

/// Returns whether the run of an order for the current term is known not to have started.
fn is_unstarted(state: &State, order: &Order) -> bool {
    if !state.is_current(order) || !matches!(order.kind, OrderKind::Start { .. }) {
        return false;
    }
    let Some(run) = state.runs.get(&order.task) else {
        return true;
    };
    if run.number != order.run {
        return run.number < order.run;
    }
    match run.phase {
        Phase::Started(_) | Phase::Ended => false,
        Phase::Starting
        | Phase::Resending
        | Phase::Unconfirmed(_)
        | Phase::Stopping
        | Phase::Stopped(_) => !run.confirmed,
    }
}
