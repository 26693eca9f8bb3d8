//! True load and interference, hidden from scheduler and pacer.

use std::f64::consts::TAU;

use super::scenario::fraction;

/// Tail latency of an idle serving task, in milliseconds.
const IDLE_TAIL_MS: f64 = 4.0;

/// Mean utilization of a serving task by its own load.
const MEAN_LOAD: f64 = 0.42;

/// Relative swing of that load.
const LOAD_SWING: f64 = 0.5;

/// Period of the swing in seconds.
const SWING_S: f64 = 10.0;

/// Share of pairs of images that interfere heavily.
const HEAVY_SHARE: f64 = 0.4;

/// Highest utilization.
const MAX_UTILIZATION: f64 = 0.97;

/// Returns the load of the serving tasks of a job. The loads of one job rise and fall together.
pub(super) fn load(seed: u64, job: u64, at_s: f64) -> f64 {
    let phase = fraction(seed, &["phase", &job.to_string()]);
    MEAN_LOAD * (1.0 + LOAD_SWING * (TAU * (at_s / SWING_S + phase)).sin())
}

/// Returns the utilization that one best-effort task at full speed adds to a serving task.
pub(super) fn interference(seed: u64, serving: &str, best_effort: &str) -> f64 {
    let size = fraction(seed, &["size", serving, best_effort]);
    if fraction(seed, &["heavy", serving, best_effort]) < HEAVY_SHARE {
        0.1 + 0.25 * size
    } else {
        0.02 * size
    }
}

/// Returns the tail latency at a utilization, in milliseconds.
pub(super) fn tail_ms(utilization: f64) -> f64 {
    IDLE_TAIL_MS / (1.0 - utilization.min(MAX_UTILIZATION))
}
