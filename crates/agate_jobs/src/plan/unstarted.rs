//! Bound runs that their agents have not started.

use std::time::Duration;

use agate_core::Moment;

use crate::plan::scheduler::Scheduler;
use crate::plan::worker::Binding;
use crate::task::TaskKey;
use crate::worker::UnstartedRun;

/// Time between two passes over the bound runs. Rounds follow each record, and much faster at times.
const PASS_PERIOD: Duration = Duration::from_millis(100);

/// Time between two summaries that name a run.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// What is known of the runs that have not started.
#[derive(Debug, Default)]
pub(super) struct UnstartedRuns {
    passed_at: Option<Moment>,
    reported_at: Option<Moment>,
}

/// The bound runs that have not started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Unstarted {
    /// Number of runs.
    pub runs: usize,
    /// The one that was bound first; `None` if there is none, or one has been named within the last second.
    pub oldest: Option<OldestUnstarted>,
}

/// The run that was bound first among those that have not started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OldestUnstarted {
    /// The task.
    pub task: TaskKey,
    /// Number of the run.
    pub run: u32,
    /// Name of the worker.
    pub worker: String,
    /// Time since the binding, or since the takeover if another leader bound it.
    pub age: Duration,
}

impl Scheduler {
    /// Returns the runs that have not started, at most once in [`PASS_PERIOD`].
    pub fn take_unstarted(&mut self, now: Moment) -> Option<Unstarted> {
        let recent = |at: Moment| now.since(at) < PASS_PERIOD;
        if self.unstarted.passed_at.is_some_and(recent) {
            return None;
        }
        self.unstarted.passed_at = Some(now);
        let bindings = self.bindings.iter();
        let unstarted = bindings.filter(|(task, binding)| self.is_unstarted(**task, binding));
        let runs = unstarted.clone().count();
        let named = |at: Moment| now.since(at) < REPORT_PERIOD;
        if runs == 0 || self.unstarted.reported_at.is_some_and(named) {
            return Some(Unstarted { runs, oldest: None });
        }
        let oldest = unstarted.min_by_key(|(_, binding)| binding.bound_at);
        let oldest = oldest.map(|(task, binding)| OldestUnstarted {
            task: *task,
            run: binding.run,
            worker: self.workers[binding.worker].report.incarnation.name.clone(),
            age: now.since(binding.bound_at),
        });
        self.unstarted.reported_at = Some(now);
        Some(Unstarted { runs, oldest })
    }

    /// Returns whether the agent of a bound run's worker reports that it has not started the run.
    fn is_unstarted(&self, task: TaskKey, binding: &Binding) -> bool {
        let run = UnstartedRun {
            task,
            run: binding.run,
        };
        self.workers[binding.worker]
            .report
            .not_started
            .contains(&run)
    }
}
