//! Reading the half-second figures of workers.

use std::time::Duration;

/// Age of the last figure below which the next one still covers half of the same time: figures
/// cover half a second and are renewed every quarter.
const OVERLAP: Duration = Duration::from_millis(375);

/// Weight of the last figure in one that overlaps it.
const KEPT: f64 = 0.5;

/// Standard deviation of a figure, in milliseconds: figures are whole milliseconds.
const ROUNDING_MS: f64 = 0.3;

/// Standard deviation of the use that is left unexplained whatever the figure.
const USE_NOISE: f64 = 0.02;

/// Standard deviation of the use that a single figure tells of.
const FIRST_NOISE: f64 = 0.1;

/// Use above which a tail only tells that the use is at least as high.
pub(super) const SATURATED: f64 = 0.93;

/// The use behind a figure.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Reading {
    /// Tail latency at the end of the time that the figure covers, in milliseconds.
    pub tail_ms: f64,
    /// The use that the tail tells of.
    pub used: f64,
    /// Variance of [`used`](Self::used).
    pub variance: f64,
}

/// Reads a figure that follows `last`, given some time before, of a task with the tail latency
/// `idle` without any use.
pub(super) fn read(sample: f64, last: Option<(f64, Duration)>, idle: f64) -> Reading {
    let alone = reading(sample, use_of(sample, idle), FIRST_NOISE * FIRST_NOISE);
    let Some((last, time)) = last else {
        return alone;
    };
    let kept = if time < OVERLAP { KEPT } else { 0.0 };
    let tail_ms = (sample - kept * last) / (1.0 - kept);
    if tail_ms < idle {
        return alone;
    }
    let noise_ms = ROUNDING_MS * (1.0 + kept * kept).sqrt() / (1.0 - kept);
    let noise = noise_ms * idle / (tail_ms * tail_ms);
    let variance = noise * noise + USE_NOISE * USE_NOISE;
    reading(tail_ms, use_of(tail_ms, idle), variance)
}

const fn reading(tail_ms: f64, used: f64, variance: f64) -> Reading {
    Reading {
        tail_ms,
        used,
        variance,
    }
}

/// Use at which a task that takes `idle` without any comes to a tail latency.
pub(super) fn use_of(tail_ms: f64, idle: f64) -> f64 {
    (1.0 - idle / tail_ms).max(0.0)
}
