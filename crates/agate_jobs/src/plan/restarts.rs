//! Pauses before long-running tasks run again that end soon after each start.
//!
//! Such a task runs again however its run ends. One whose program ends at once would otherwise be started as fast as
//! orders reach its worker, for as long as its job is not cancelled.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::Moment;

use crate::plan::scheduler::Scheduler;
use crate::record::{EndCause, RunEnd};
use crate::table::JobTable;
use crate::task::TaskKey;

/// Pauses after the second and each further short run in a row; the last one is kept. The first restart is at once. A
/// task has to run again 6 s after its last run, and a job has to have one at work every 3 s.
const PAUSES: [Duration; 4] = [
    Duration::from_millis(250),
    Duration::from_millis(500),
    Duration::from_secs(1),
    Duration::from_secs(2),
];

/// A task that waits before it runs again.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct DelayedRestart {
    /// The task.
    pub task: TaskKey,
    /// Number of the run that has ended.
    pub run: u32,
    /// Time for which it ran, in milliseconds.
    pub ran_ms: u64,
    /// Number of short runs in a row, this one included.
    pub short_runs: u32,
    /// Time until the task may run again.
    pub pause: Duration,
}

/// The tasks that wait before they run again.
///
/// A new leader knows of none, so that a task may run again at once after a takeover.
#[derive(Debug, Default)]
pub(super) struct Restarts {
    until: BTreeMap<TaskKey, Moment>,
    /// Those since the last report.
    unreported: Vec<DelayedRestart>,
}

impl Restarts {
    /// Returns whether a task waits, by the time of the newest [`Self::expire`].
    pub(super) fn contains(&self, task: TaskKey) -> bool {
        self.until.contains_key(&task)
    }

    /// Forgets the tasks whose pause is over.
    pub(super) fn expire(&mut self, now: Moment) {
        self.until.retain(|_, until| *until > now);
    }
}

impl Scheduler {
    /// Returns the restarts that have been delayed since the last call.
    pub fn take_delayed_restarts(&mut self) -> Vec<DelayedRestart> {
        std::mem::take(&mut self.restarts.unreported)
    }

    /// Delays the next run of a long-running task if its last ones were short.
    pub(super) fn delay_restart(&mut self, table: &JobTable, end: &RunEnd, now: Moment) {
        let job = table.job(end.task.job);
        let Some(job) = job.filter(|job| job.is_long_running(end.task)) else {
            return;
        };
        if end.cause != EndCause::Done {
            return;
        }
        let progress = job.step_progress(end.task);
        let progress = progress.and_then(|step| step.tasks.get(end.task.index as usize));
        let short_runs = progress.map_or(0, |task| task.short_runs);
        let Some(pause) = pause_after(short_runs) else {
            return;
        };
        self.restarts.until.insert(end.task, now + pause);
        self.restarts.unreported.push(DelayedRestart {
            task: end.task,
            run: end.run,
            ran_ms: end.ran_ms,
            short_runs,
            pause,
        });
    }
}

/// Returns the pause after a number of short runs in a row; `None` for the first one.
fn pause_after(short_runs: u32) -> Option<Duration> {
    let at = (short_runs as usize).checked_sub(2)?;
    Some(PAUSES[at.min(PAUSES.len() - 1)])
}
