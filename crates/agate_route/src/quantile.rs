//! A streaming quantile estimator that uses constant space.

use std::time::Duration;

/// Largest relative change of the estimate per sample.
const STEP: f64 = 0.05;

/// An estimate of one quantile of a stream of durations.
///
/// Each sample moves the estimate up or down by a fixed fraction of its value. The two fractions
/// are weighted so that the estimate settles where the requested share of samples lies below it. A
/// sample moves the estimate equally far whether it is slightly or a thousand times larger, so
/// outliers don't distort it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuantileEstimator {
    quantile: f64,
    estimate_us: Option<f64>,
}

impl QuantileEstimator {
    /// Creates an estimator of the value below which `percent` of the samples lie.
    pub fn new(percent: u32) -> Self {
        Self {
            quantile: f64::from(percent.min(100)) / 100.0,
            estimate_us: None,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample = micros(sample).max(1.0);
        let Some(old) = self.estimate_us else {
            self.estimate_us = Some(sample);
            return;
        };
        let updated = if sample > old {
            (old * (1.0 + STEP * self.quantile)).min(sample)
        } else {
            (old / (1.0 + STEP * (1.0 - self.quantile))).max(sample)
        };
        self.estimate_us = Some(updated);
    }

    /// Returns the estimate, or `None` before the first sample.
    pub fn get(&self) -> Option<Duration> {
        self.estimate_us
            .map(|us| Duration::from_secs_f64(us / 1_000_000.0))
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000_000.0
}
