//! Recent health of a worker, as judged by the runs that ended on it.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{JobId, Moment};
use strum::Display;

use crate::record::EndCause;
use crate::spec::StepSpec;
use crate::task::TaskKey;

/// Time for which results are remembered.
const HISTORY_WINDOW: Duration = Duration::from_secs(6);

/// Number of failed jobs within [`HISTORY_WINDOW`] that quarantines a worker, provided that
/// successes are fewer.
const FAILURE_LIMIT: usize = 2;

/// Number of consecutive failures, of more than one job, that quarantines a worker regardless of
/// earlier successes.
const STREAK_LIMIT: usize = 3;

/// Duration of a quarantine, after which a probe is bound.
const QUARANTINE: Duration = Duration::from_millis(2_500);

/// Time after which a probe that still runs allows a further one. Runs that stall or fail at once have
/// ended by then.
const PROBE_TIME: Duration = Duration::from_millis(1_500);

/// Time after a quarantine for which tasks of the jobs that led to it leave the first probe to others. A
/// job that stalls on every worker would otherwise take each one.
const OTHERS_FIRST: Duration = Duration::from_millis(250);

/// Time for which a worker remembers these jobs, which covers several quarantines.
const BLAME_TIME: Duration = Duration::from_secs(30);

/// Time between two tasks that are bound to a worker that isn't trusted because they have waited for long. A
/// worker that fails everything at once would otherwise take an attempt of each of them.
const WAITING_PAUSE: Duration = Duration::from_millis(100);

/// Pause before the next task is bound to a worker that rejected a start.
const REJECTION_PAUSE: Duration = Duration::from_millis(400);

/// Weight of a new run in the moving average of the slowness.
const SLOWNESS_WEIGHT: f64 = 0.2;

/// How far a worker is trusted with short tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "snake_case")]
pub enum Trust {
    /// The worker takes any task.
    Full,
    /// The worker takes few short tasks until a run has succeeded.
    Probation,
    /// The worker is closed after failures or stalls, except to tasks that have waited for long.
    Quarantine,
}

/// Recent results of a worker.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: Vec<(Moment, JobId)>,
    successes: Vec<Moment>,
    /// Jobs of the failures since the last success or quarantine.
    failure_streak: Vec<JobId>,
    quarantined_until: Moment,
    /// Whether a run has failed since the last quarantine began, or led to it.
    has_failed: bool,
    /// The newest task that was bound to the worker while it wasn't trusted, and when.
    probed: Option<(TaskKey, Moment)>,
    /// Time until which the worker takes nothing after it has rejected a start.
    rejected_until: Moment,
    /// Jobs whose runs led to a quarantine and when, since the last success.
    blamed: Vec<(Moment, JobId)>,
    /// Whether no run has succeeded since the last quarantine.
    on_probation: bool,
    /// Probes: tasks that were bound since the last quarantine and are still bound, and since when.
    probes: BTreeMap<TaskKey, Moment>,
    /// Moving average of the natural logarithm of run time over estimate, relative to all workers.
    pub slowness: f64,
}

impl Health {
    pub fn accepts_tasks(&self, now: Moment) -> bool {
        now >= self.quarantined_until && !self.has_rejected(now)
    }

    /// Returns whether a task may be bound that has waited for long while most of the capacity is free. A worker
    /// in quarantine takes one only if no run has failed there: unlike a stall, a failure costs an attempt. The
    /// members of a gang start together.
    pub fn accepts_waiting_task(&self, task: TaskKey, step: &StepSpec, now: Moment) -> bool {
        let is_paused = self.probed.is_some_and(|(other, at)| {
            let is_member = step.gang && other.is_sibling(task);
            now.since(at) < WAITING_PAUSE && !is_member
        });
        let accepts = match self.trust(now) {
            Trust::Full => true,
            Trust::Probation => !is_paused,
            Trust::Quarantine => !is_paused && !self.has_failed,
        };
        accepts && !self.has_rejected(now)
    }

    /// Returns whether a task that may fail only once more leaves the worker to others: a probe runs there that has
    /// not proven it, after failures. All tasks that were bound beside it would fail with it.
    pub fn rejects_last_attempt(&self, task: TaskKey, step: &StepSpec, now: Moment) -> bool {
        let is_member = |other: &TaskKey| step.gang && other.is_sibling(task);
        let mut others = self.probes.iter().filter(|(other, _)| !is_member(other));
        let is_unproven = others.any(|(_, since)| now.since(*since) < PROBE_TIME);
        self.on_probation && self.has_failed && is_unproven
    }

    fn has_rejected(&self, now: Moment) -> bool {
        now < self.rejected_until
    }

    /// Returns how far the worker is trusted.
    pub fn trust(&self, now: Moment) -> Trust {
        if now < self.quarantined_until {
            Trust::Quarantine
        } else if self.on_probation {
            Trust::Probation
        } else {
            Trust::Full
        }
    }

    /// Returns the share of a quarantine that is left.
    pub fn quarantine_left(&self, now: Moment) -> f64 {
        now.until(self.quarantined_until).as_secs_f64() / QUARANTINE.as_secs_f64()
    }

    /// Returns whether a short task may be bound. On probation, one may be at once and one more for
    /// each probe that has run for [`PROBE_TIME`], so that tasks don't wait beside room for as long
    /// as the first probe runs. The members of a gang, which start together, don't count against each
    /// other. Jobs that led to the quarantine come after others and don't keep them from a probe.
    pub fn accepts_short_task(&self, task: TaskKey, step: &StepSpec, now: Moment) -> bool {
        if !self.on_probation {
            return true;
        }
        let is_blamed = self.blames(task.job);
        if is_blamed && now < self.quarantined_until + OTHERS_FIRST {
            return false;
        }
        let is_member = |other: &TaskKey| step.gang && other.is_sibling(task);
        let competes = |other: &TaskKey| is_blamed || !self.blames(other.job);
        let others = self.probes.iter();
        let others = others.filter(|(other, _)| !is_member(other) && competes(other));
        let proven = others
            .clone()
            .filter(|(_, since)| now.since(**since) >= PROBE_TIME);
        others.count() <= 2 * proven.count()
    }

    /// Returns whether runs of a job led to a quarantine since the last success.
    pub fn blames(&self, job: JobId) -> bool {
        self.blamed.iter().any(|(_, known)| *known == job)
    }

    /// Records that a task was bound. One that was bound during a quarantine is no probe.
    pub fn record_binding(&mut self, task: TaskKey, now: Moment) {
        match self.trust(now) {
            Trust::Full => return,
            Trust::Probation => drop(self.probes.insert(task, now)),
            Trust::Quarantine => {}
        }
        self.probed = Some((task, now));
    }

    /// Returns the newest probe.
    pub const fn newest_probe(&self) -> Option<(TaskKey, Moment)> {
        self.probed
    }

    /// Forgets a binding that was never ordered; `earlier` was the newest probe before it.
    pub fn undo_binding(&mut self, earlier: Option<(TaskKey, Moment)>) {
        self.probed = earlier;
    }

    /// Records that a task is no longer bound, whether its run has ended or was never ordered.
    pub fn record_release(&mut self, task: TaskKey) {
        self.probes.remove(&task);
    }

    /// Records the end of a run of `job` that was bound at `bound_at`, if that is known. Only a run that was
    /// bound after a quarantine tells whether the worker is still at fault. If the others prolonged the
    /// quarantine, a worker that takes tasks meanwhile would never be probed.
    pub fn record_end(
        &mut self,
        job: JobId,
        cause: EndCause,
        bound_at: Option<Moment>,
        now: Moment,
    ) {
        self.drop_expired(now);
        let is_failure = matches!(cause, EndCause::Failed | EndCause::Stalled);
        if is_failure && bound_at.unwrap_or(now) < self.quarantined_until {
            self.blame(job, now);
            self.has_failed |= cause == EndCause::Failed;
            return;
        }
        match cause {
            EndCause::Done => {
                self.on_probation = false;
                self.failure_streak.clear();
                self.blamed.clear();
                self.successes.push(now);
            }
            EndCause::Failed => self.record_failure(job, now),
            EndCause::Stalled => self.quarantine(job, cause, now),
            EndCause::NoRoom | EndCause::Refused => self.rejected_until = now + REJECTION_PAUSE,
            _ => {}
        }
    }

    /// Records the run time of a finished task as the logarithm of run time over estimate, less the
    /// average over all workers.
    pub fn record_run_time(&mut self, log_ratio: f64) {
        self.slowness += SLOWNESS_WEIGHT * (log_ratio - self.slowness);
    }

    fn record_failure(&mut self, job: JobId, now: Moment) {
        if !self.failures.iter().any(|(_, known)| *known == job) {
            self.failures.push((now, job));
        }
        self.failure_streak.push(job);
        let several_jobs = self.failure_streak.iter().any(|known| *known != job);
        let in_a_row = self.failure_streak.len() >= STREAK_LIMIT && several_jobs;
        let mostly_failures =
            self.failures.len() >= FAILURE_LIMIT && self.successes.len() < self.failures.len();
        if in_a_row || mostly_failures || self.on_probation {
            self.quarantine(job, EndCause::Failed, now);
        }
    }

    fn quarantine(&mut self, job: JobId, cause: EndCause, now: Moment) {
        self.blame(job, now);
        if !self.on_probation {
            self.probes.clear();
        }
        self.failure_streak.clear();
        self.on_probation = true;
        self.has_failed = cause == EndCause::Failed;
        self.quarantined_until = now + QUARANTINE;
    }

    fn blame(&mut self, job: JobId, now: Moment) {
        self.blamed.retain(|(_, known)| *known != job);
        self.blamed.push((now, job));
    }

    fn drop_expired(&mut self, now: Moment) {
        self.failures
            .retain(|(at, _)| now.since(*at) < HISTORY_WINDOW);
        self.blamed.retain(|(at, _)| now.since(*at) < BLAME_TIME);
        self.successes.retain(|at| now.since(*at) < HISTORY_WINDOW);
    }
}
