//! Serving tasks that exceed their latency target, and whether best-effort tasks may be the cause.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

use crate::pace::{BestEffortTask, ServingTask};
use crate::task::TaskKey;

/// Duration of a violation after which all best-effort tasks on the worker are stopped. Leaves time
/// for the stop to take effect before a violation counts as harm, which is after 4 s.
const PROLONGED_AFTER: Duration = Duration::from_millis(1_300);

/// Time without best-effort work after which a violation is attributed to the serving task itself.
const SELF_CAUSED_AFTER: Duration = Duration::from_millis(1_500);

/// Share of full speed, summed over all best-effort tasks, up to which they count as idle.
const IDLE_SHARE: f64 = 0.05;

#[derive(Debug, Clone, Copy)]
struct Violation {
    since: Moment,
    self_caused: bool,
    /// Whether the task still exceeds its target. The sample drops later because it is an average.
    is_current: bool,
}

/// Latency violations by serving task.
#[derive(Debug, Default)]
pub(super) struct LatencyViolations {
    violations: HashMap<TaskKey, Violation>,
    alone_since: Option<Moment>,
}

impl LatencyViolations {
    /// Records the samples of serving and best-effort tasks. `tails` holds the present tail
    /// latencies derived from the samples.
    pub fn observe(
        &mut self,
        serving: &[ServingTask],
        tails: &HashMap<TaskKey, f64>,
        best_effort: &[BestEffortTask],
        now: Moment,
    ) {
        let working: f64 = best_effort.iter().map(|task| task.share).sum();
        if working > IDLE_SHARE {
            self.alone_since = None;
        } else {
            self.alone_since.get_or_insert(now);
        }
        let alone = self
            .alone_since
            .is_some_and(|since| now.since(since) >= SELF_CAUSED_AFTER);
        let is_over = |task: &ServingTask| task.tail_ms > task.target_ms;
        self.violations.retain(|known, _| {
            serving
                .iter()
                .any(|task| task.task == *known && is_over(task))
        });
        for task in serving.iter().filter(|task| is_over(task)) {
            let new = Violation {
                since: now,
                self_caused: false,
                is_current: true,
            };
            let violation = self.violations.entry(task.task).or_insert(new);
            violation.self_caused |= alone;
            let tail = tails.get(&task.task).copied();
            violation.is_current = tail.unwrap_or(task.tail_ms) > task.target_ms;
        }
    }

    /// Returns whether a task has exceeded its target for long and best-effort tasks may be the
    /// cause.
    pub fn is_prolonged(&self, now: Moment) -> bool {
        let mut violations = self.violations.values();
        violations.any(|violation| {
            violation.is_current
                && !violation.self_caused
                && now.since(violation.since) >= PROLONGED_AFTER
        })
    }

    /// Returns whether a task exceeds its target through its own load.
    pub fn is_self_caused(&self, task: TaskKey) -> bool {
        self.violations
            .get(&task)
            .is_some_and(|violation| violation.self_caused)
    }
}
