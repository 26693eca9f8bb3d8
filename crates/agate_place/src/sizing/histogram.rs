//! A streaming quantile in which old samples fade.

use std::time::Duration;

use agate_core::Moment;

use crate::amount;

/// Ratio between the bounds of neighbouring cells; the error of a quantile is at most this.
const GROWTH: f64 = 1.1;

/// Cells; the last one begins at `GROWTH^(CELLS - 1)`, above 3,000,000.
const CELLS: usize = 160;

/// Weight of one sample above which all weights are scaled down.
const MAX_WEIGHT: f64 = 1e6;

/// A histogram with cells of equal ratio. A sample counts half after each halflife.
#[derive(Debug, Clone)]
pub struct Histogram {
    cells: Vec<f32>,
    total: f64,
    /// When a sample weighs 1.
    origin: Moment,
    halflife: Duration,
}

impl Histogram {
    /// Starts an empty histogram.
    pub fn new(halflife: Duration) -> Self {
        Self {
            cells: vec![0.0; CELLS],
            total: 0.0,
            origin: Moment::ZERO,
            halflife,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, now: Moment, value: f64) {
        let weight = self.weight(now);
        self.cells[cell_of(value)] += to_f32(weight);
        self.total += weight;
        if weight > MAX_WEIGHT {
            self.rebase(now);
        }
    }

    /// The number of samples, each counted by what is left of its weight.
    pub fn samples(&self, now: Moment) -> f64 {
        self.total / self.weight(now)
    }

    /// The upper bound of the cell that holds `quantile` of the samples.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        if self.total <= 0.0 {
            return None;
        }
        let mut left = self.total * quantile;
        for (i, &weight) in self.cells.iter().enumerate() {
            left -= f64::from(weight);
            if left <= 1e-6 * self.total {
                return Some(bound_of(i + 1));
            }
        }
        Some(bound_of(CELLS))
    }

    /// Weight of a sample taken at `now`.
    fn weight(&self, now: Moment) -> f64 {
        1.0 / amount::decay(now.since(self.origin), self.halflife)
    }

    /// Moves the origin to `now`, so that weights stay in range.
    fn rebase(&mut self, now: Moment) {
        let scale = 1.0 / self.weight(now);
        for weight in &mut self.cells {
            *weight *= to_f32(scale);
        }
        self.total *= scale;
        self.origin = now;
    }
}

fn cell_of(value: f64) -> usize {
    let cell = value.max(1.0).ln() / GROWTH.ln();
    (amount::to_u32(cell) as usize).min(CELLS - 1)
}

fn bound_of(cell: usize) -> f64 {
    GROWTH.powf(cell as f64)
}

#[expect(clippy::cast_possible_truncation, reason = "a weight needs few digits")]
const fn to_f32(number: f64) -> f32 {
    number as f32
}
