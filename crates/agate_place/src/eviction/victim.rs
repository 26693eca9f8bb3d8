//! Choice of the run to throttle or evict.

use std::time::Duration;

use agate_core::TaskId;
use agate_preset::policy::Weights;

/// Lost run time at which the eviction cost is half of its maximum.
const HALF_LOSS_TIME: Duration = Duration::from_mins(1);

/// A run that can be throttled or evicted.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The task.
    pub task: TaskId,
    /// Log slowdown attributed to the run.
    pub slowdown_ln: f64,
    /// Share of the machine that the run holds.
    pub share: f64,
    /// Time since the last checkpoint; an eviction may lose this work.
    pub since_checkpoint: Duration,
    /// Number of earlier evictions of the task.
    pub evictions: u32,
}

/// Returns the run with the best balance of benefit for urgent work and cost for batch work.
pub fn choose_victim(candidates: &[Candidate], weights: &Weights) -> Option<TaskId> {
    let total_ln: f64 = candidates.iter().map(|s| s.slowdown_ln).sum();
    let share: f64 = candidates.iter().map(|s| s.share).sum();
    let slowdown_share = |s: &Candidate| {
        if total_ln > 0.0 {
            s.slowdown_ln / total_ln
        } else {
            s.share / share.max(1e-9)
        }
    };
    let value = |s: &Candidate| {
        f64::from(weights.latency.max(1)) * slowdown_share(s)
            - f64::from(weights.evictions) * loss(s)
    };
    let order = |a: &&Candidate, b: &&Candidate| {
        value(a)
            .total_cmp(&value(b))
            .then_with(|| b.task.cmp(&a.task))
    };
    candidates.iter().max_by(order).map(|s| s.task)
}

/// Returns the cost of evicting a run, from 0 to 1.
fn loss(candidate: &Candidate) -> f64 {
    let since_checkpoint =
        candidate.since_checkpoint.as_secs_f64() * f64::from(1 + candidate.evictions);
    let repeats = f64::from(candidate.evictions) * HALF_LOSS_TIME.as_secs_f64();
    let cost = since_checkpoint + repeats;
    cost / (cost + HALF_LOSS_TIME.as_secs_f64())
}
