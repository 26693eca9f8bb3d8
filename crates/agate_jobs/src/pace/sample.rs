//! Utilization measured from the half-second latency samples of workers.

use std::time::Duration;

/// Time between two samples below which they overlap by half. Samples cover half a second and are
/// renewed every quarter of a second.
const OVERLAP_AGE: Duration = Duration::from_millis(375);

/// Weight of the previous sample in one that overlaps it.
const OVERLAP_WEIGHT: f64 = 0.5;

/// Standard deviation of a sample, in milliseconds. Samples are rounded to whole milliseconds.
const ROUNDING_STD_MS: f64 = 0.3;

/// Standard deviation of the utilization that a sample leaves unexplained.
const UTILIZATION_STD: f64 = 0.02;

/// Standard deviation of the utilization derived from a single sample.
const FIRST_SAMPLE_STD: f64 = 0.1;

/// Utilization above which a measurement is only a lower bound.
pub(super) const SATURATED: f64 = 0.93;

/// Utilization derived from a sample.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) struct Measurement {
    /// Tail latency at the end of the sampled interval, in milliseconds.
    pub tail_ms: f64,
    /// Utilization that explains the tail latency.
    pub utilization: f64,
    /// Variance of [`utilization`](Self::utilization).
    pub variance: f64,
}

/// Measures the utilization from a sample and, if there is one, the previous sample and the time
/// between both. `idle_ms` is the task's tail latency at zero utilization.
pub(super) fn measure(sample: f64, last: Option<(f64, Duration)>, idle_ms: f64) -> Measurement {
    let single = measurement(
        sample,
        utilization_at(sample, idle_ms),
        FIRST_SAMPLE_STD * FIRST_SAMPLE_STD,
    );
    let Some((last, elapsed)) = last else {
        return single;
    };
    let overlap = if elapsed < OVERLAP_AGE {
        OVERLAP_WEIGHT
    } else {
        0.0
    };
    let tail_ms = (sample - overlap * last) / (1.0 - overlap);
    if tail_ms < idle_ms {
        return single;
    }
    let noise_ms = ROUNDING_STD_MS * (1.0 + overlap * overlap).sqrt() / (1.0 - overlap);
    let noise = noise_ms * idle_ms / (tail_ms * tail_ms);
    let variance = noise * noise + UTILIZATION_STD * UTILIZATION_STD;
    measurement(tail_ms, utilization_at(tail_ms, idle_ms), variance)
}

const fn measurement(tail_ms: f64, utilization: f64, variance: f64) -> Measurement {
    Measurement {
        tail_ms,
        utilization,
        variance,
    }
}

/// Returns the utilization at which a task with the idle tail latency `idle_ms` reaches `tail_ms`.
pub(super) fn utilization_at(tail_ms: f64, idle_ms: f64) -> f64 {
    (1.0 - idle_ms / tail_ms).max(0.0)
}
