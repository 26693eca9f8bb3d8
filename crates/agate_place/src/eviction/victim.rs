//! Which run a step is taken against.

use std::time::Duration;

use agate_core::TaskId;
use agate_preset::policy::Weights;

/// Work lost by an eviction that counts half of the most that any loss counts.
const HALF_LOSS: Duration = Duration::from_mins(1);

/// A run that a step could be taken against.
#[derive(Debug, Clone, Copy)]
pub struct Candidate {
    /// The task.
    pub task: TaskId,
    /// Logarithm of the slowdown that is laid to the run.
    pub slowdown_ln: f64,
    /// Share of the machine that it holds.
    pub share: f64,
    /// Time since its last checkpoint, which an eviction may lose.
    pub since_checkpoint: Duration,
    /// How often the task was evicted before.
    pub evictions: u32,
}

/// The run whose removal helps urgent work most for what it costs batch work.
pub fn choose_victim(candidates: &[Candidate], weights: &Weights) -> Option<TaskId> {
    let total_ln: f64 = candidates.iter().map(|s| s.slowdown_ln).sum();
    let share: f64 = candidates.iter().map(|s| s.share).sum();
    let guilt = |s: &Candidate| {
        if total_ln > 0.0 {
            s.slowdown_ln / total_ln
        } else {
            s.share / share.max(1e-9)
        }
    };
    let value = |s: &Candidate| {
        f64::from(weights.latency.max(1)) * guilt(s) - f64::from(weights.evictions) * loss(s)
    };
    let order = |a: &&Candidate, b: &&Candidate| {
        value(a)
            .total_cmp(&value(b))
            .then_with(|| b.task.cmp(&a.task))
    };
    candidates.iter().max_by(order).map(|s| s.task)
}

/// Cost of evicting a run, between 0 and 1.
fn loss(candidate: &Candidate) -> f64 {
    let since_checkpoint =
        candidate.since_checkpoint.as_secs_f64() * f64::from(1 + candidate.evictions);
    let repeats = f64::from(candidate.evictions) * HALF_LOSS.as_secs_f64();
    let cost = since_checkpoint + repeats;
    cost / (cost + HALF_LOSS.as_secs_f64())
}
