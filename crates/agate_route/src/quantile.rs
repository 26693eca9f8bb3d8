//! A streaming estimate of a quantile in constant space.

use std::time::Duration;

/// How far one sample moves the estimate towards a distant value, as a share of the estimate.
const STEP: f64 = 0.05;

/// An estimate of one quantile of a stream of durations.
///
/// Each sample moves the estimate by a fixed share of itself, up or down, weighted so that it
/// rests where the wanted share of samples lies below. One sample moves it equally little whether
/// it is a little or a thousand times too large, so outliers can't drag it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct QuantileEstimator {
    share: f64,
    micros: Option<f64>,
}

impl QuantileEstimator {
    /// Starts an estimate of the value below which `percent` of the samples lie.
    pub fn new(percent: u32) -> Self {
        Self {
            share: f64::from(percent.min(100)) / 100.0,
            micros: None,
        }
    }

    /// Takes a sample.
    pub fn add(&mut self, sample: Duration) {
        let sample = micros(sample).max(1.0);
        let Some(old) = self.micros else {
            self.micros = Some(sample);
            return;
        };
        let moved = if sample > old {
            (old * (1.0 + STEP * self.share)).min(sample)
        } else {
            (old / (1.0 + STEP * (1.0 - self.share))).max(sample)
        };
        self.micros = Some(moved);
    }

    /// The estimate, or `None` before the first sample.
    pub fn get(&self) -> Option<Duration> {
        self.micros
            .map(|us| Duration::from_secs_f64(us / 1_000_000.0))
    }
}

fn micros(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1_000_000.0
}
