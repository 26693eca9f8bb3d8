//! Choice of best-effort tasks that are stopped to continue elsewhere.
//!
//! Answers the load of a worker whose serving tasks leave nothing to its best-effort tasks for a
//! while. One task is stopped at a time: the pace of the others rises once it is gone.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

use crate::task::TaskKey;

/// Pace in percent up to which a task hardly progresses.
const SLOW_PERCENT: u32 = 40;

/// Time after which a task that hardly progresses may be stopped.
const MAX_SLOW_TIME: Duration = Duration::from_millis(600);

/// Time between two stops, in which the pace of the others changes.
const STOP_INTERVAL: Duration = Duration::from_millis(500);

/// What a stop costs a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum StopCost {
    /// Hardly any of its progress.
    Little,
    /// All progress. The run has been running for this time.
    Everything(Duration),
}

/// A run of a task.
type RunKey = (TaskKey, u32);

/// Times since which the runs on a worker have been slow.
#[derive(Debug, Default)]
pub struct GiveBack {
    slow_since: HashMap<RunKey, Moment>,
    stopped_at: Option<Moment>,
}

impl GiveBack {
    /// Records the pace that was set for a run.
    pub fn record_pace(&mut self, run: RunKey, percent: u32, now: Moment) {
        if percent > SLOW_PERCENT {
            self.slow_since.remove(&run);
        } else {
            self.slow_since.entry(run).or_insert(now);
        }
    }

    /// Drops the runs that have ended.
    pub fn retain(&mut self, is_running: impl Fn(&RunKey) -> bool) {
        self.slow_since.retain(|run, _| is_running(run));
    }

    /// Returns the run to be stopped, the one that has been slow for longest; `None` if there is
    /// none or another has just been stopped. `cost` returns what a stop costs a run, or `None` if
    /// it can't be stopped.
    ///
    /// A run that would lose its progress is stopped once it has been slow for as long as it was
    /// running before. Waiting further may take any time, and its job waits for it.
    pub fn choose(
        &mut self,
        cost: impl Fn(&RunKey) -> Option<StopCost>,
        now: Moment,
    ) -> Option<RunKey> {
        let recent = |at: Moment| now.since(at) < STOP_INTERVAL;
        if self.stopped_at.is_some_and(recent) {
            return None;
        }
        let may_stop = |run: &RunKey, slow_for: Duration| match cost(run) {
            Some(StopCost::Little) => slow_for >= MAX_SLOW_TIME,
            Some(StopCost::Everything(ran_for)) => {
                slow_for >= MAX_SLOW_TIME.max(ran_for.saturating_sub(slow_for))
            }
            None => false,
        };
        let slow = self.slow_since.iter();
        let stuck = slow.filter(|(run, since)| may_stop(run, now.since(**since)));
        let run = stuck
            .min_by_key(|(run, since)| (**since, **run))
            .map(|(run, _)| *run)?;
        self.stopped_at = Some(now);
        Some(run)
    }
}
