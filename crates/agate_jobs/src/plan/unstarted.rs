//! Bound runs that their agents have not started.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{JobId, Moment};

use crate::loss::LossReason;
use crate::plan::scheduler::Scheduler;
use crate::plan::worker::Binding;
use crate::record::{EndCause, RunEnd};
use crate::task::TaskKey;
use crate::worker::UnstartedRun;

/// Time between two passes over the bound runs. Rounds follow each record, and much faster at times.
const PASS_PERIOD: Duration = Duration::from_millis(100);

/// Time between two summaries that name a run.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Time after its binding from which on a run counts as not started if its worker's agent has not reported
/// since. Agents report every 0.8 s.
const UNHEARD_AFTER: Duration = Duration::from_secs(2);

/// Time for which an agent has read no orders when its first report of that is read: it reports after 2.2 s, which it
/// checks each 0.25 s, and the report takes its time. Runs that were bound since may be unread, and the agent can't
/// list those.
const UNREAD_BEFORE_REPORT: Duration = Duration::from_millis(2_700);

/// What is known of the runs that have not started.
#[derive(Debug, Default)]
pub(super) struct UnstartedRuns {
    /// When a run of a job ended last, for jobs of which others are bound.
    ended: BTreeMap<JobId, Moment>,
    passed_at: Option<Moment>,
    reported_at: Option<Moment>,
}

impl UnstartedRuns {
    /// Records the end of a run, unless its agent has returned it unstarted or the log has refused its order.
    pub fn record_end(&mut self, end: &RunEnd, now: Moment) {
        let is_returned = matches!(end.cause, EndCause::NoRoom | EndCause::Refused);
        if !is_returned && end.loss != Some(LossReason::OrderRefused) {
            self.ended.insert(end.task.job, now);
        }
    }

    /// Forgets the ends of all jobs but those in `bound`, which is sorted.
    pub fn retain_ends(&mut self, bound: &[JobId]) {
        self.ended.retain(|job, _| bound.binary_search(job).is_ok());
    }
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
        let unstarted = bindings.filter(|(task, binding)| self.is_unstarted(**task, binding, now));
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

    /// Returns whether any bound run of a job may have started.
    pub(super) fn has_started(&self, job: JobId, now: Moment) -> bool {
        let mut bindings = self.bindings_of(job);
        bindings.any(|(task, binding)| !self.is_unstarted(*task, binding, now))
    }

    /// Returns the jobs of which a bound run may have started, in ascending order.
    pub(super) fn started_now(&self, now: Moment) -> Vec<JobId> {
        let bindings = self.bindings.iter();
        let started = bindings.filter(|(task, binding)| !self.is_unstarted(**task, binding, now));
        let mut started: Vec<JobId> = started.map(|(task, _)| task.job).collect();
        started.dedup();
        started
    }

    /// Returns since when a job none of whose bound runs has started has waited for one.
    pub(super) fn unstarted_since(&self, job: JobId, now: Moment) -> Moment {
        let bound = self.bindings_of(job).map(|(_, binding)| binding.bound_at);
        let ended = self.unstarted.ended.get(&job).copied();
        bound
            .min()
            .map_or(now, |bound| bound.max(ended.unwrap_or(bound)))
    }

    /// Returns whether a bound run counts as not started: its worker's agent reports so, or has not reported
    /// since the binding for too long. It stays bound in any case.
    fn is_unstarted(&self, task: TaskKey, binding: &Binding, now: Moment) -> bool {
        let worker = &self.workers[binding.worker];
        let since = binding.bound_at.max(worker.reading_since);
        let unheard = worker.last_contact <= binding.bound_at;
        self.is_reported_unstarted(task, binding) || (unheard && now.since(since) > UNHEARD_AFTER)
    }

    /// Returns whether the agent of its worker reports that a bound run has not started, or that it could not read
    /// its orders when the run was bound.
    pub(super) fn is_reported_unstarted(&self, task: TaskKey, binding: &Binding) -> bool {
        let run = UnstartedRun {
            task,
            run: binding.run,
        };
        let worker = &self.workers[binding.worker];
        let is_unread = |since: Moment| binding.bound_at + UNREAD_BEFORE_REPORT > since;
        worker.unread_since.is_some_and(is_unread) || worker.report.not_started.contains(&run)
    }
}
