//! Serving tasks that miss their target, and whether filling tasks are the cause.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

use crate::pace::{BestEffortTask, ServingTask};
use crate::task::TaskKey;

/// Time over its target after which a serving task stops every filling task beside it. Leaves time
/// for the stop to show before the shortest time over target that counts as harm (4 s).
const LONG: Duration = Duration::from_millis(1_300);

/// Time without filling tasks after which a serving task over its target is its own cause.
const ALONE: Duration = Duration::from_millis(1_500);

/// Share of full speed, over all filling tasks, below which they count as standing still.
const STILL: f64 = 0.05;

#[derive(Debug, Clone, Copy)]
struct Strain {
    since: Moment,
    own: bool,
    /// Whether it is over its target at this moment; its figure falls later.
    lasts: bool,
}

/// Serving tasks that are over their target.
#[derive(Debug, Default)]
pub(super) struct Strains {
    over: HashMap<TaskKey, Strain>,
    alone_since: Option<Moment>,
}

impl Strains {
    /// Takes the figures of serving tasks, and their tail latencies at this moment.
    pub fn observe(
        &mut self,
        serving: &[ServingTask],
        tails: &HashMap<TaskKey, f64>,
        best_effort: &[BestEffortTask],
        now: Moment,
    ) {
        let working: f64 = best_effort.iter().map(|task| task.share).sum();
        if working > STILL {
            self.alone_since = None;
        } else {
            self.alone_since.get_or_insert(now);
        }
        let alone = self
            .alone_since
            .is_some_and(|since| now.since(since) >= ALONE);
        let over = |task: &ServingTask| task.tail_ms > task.target_ms;
        self.over
            .retain(|known, _| serving.iter().any(|task| task.task == *known && over(task)));
        for task in serving.iter().filter(|task| over(task)) {
            let fresh = Strain {
                since: now,
                own: false,
                lasts: true,
            };
            let violation = self.over.entry(task.task).or_insert(fresh);
            violation.own |= alone;
            let tail = tails.get(&task.task).copied();
            violation.lasts = tail.unwrap_or(task.tail_ms) > task.target_ms;
        }
    }

    /// Whether a task has been over its target for long, with filling tasks as a possible cause.
    pub fn is_long(&self, now: Moment) -> bool {
        let mut strains = self.over.values();
        strains.any(|violation| {
            violation.lasts && !violation.own && now.since(violation.since) >= LONG
        })
    }

    /// Whether a task is over its target with nothing beside it as the cause.
    pub fn is_own(&self, task: TaskKey) -> bool {
        self.over.get(&task).is_some_and(|violation| violation.own)
    }
}
