//! A streaming quantile in which old samples fade.

use std::time::Duration;

use agate_core::Moment;

use crate::amount;

/// Natural logarithm of the ratio between the bounds of neighbouring cells, 1.1; the error of a
/// quantile is at most this.
const GROWTH_LN: f64 = 0.095_310_179_804_324_87;

/// Cells; the last one begins above 3,000,000.
const CELLS: usize = 160;

/// Cells of a block; a quantile is looked for in the sums of blocks first.
const BLOCK: usize = 16;

/// Weight of one sample above which all weights are scaled down.
const MAX_WEIGHT: f64 = 1e6;

/// A histogram with cells of equal ratio. A sample counts half after each halflife.
#[derive(Debug, Clone)]
pub struct Histogram {
    cells: Vec<f32>,
    /// Sum of each block of cells.
    blocks: [f64; CELLS / BLOCK],
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
            blocks: [0.0; CELLS / BLOCK],
            total: 0.0,
            origin: Moment::ZERO,
            halflife,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, now: Moment, value: f64) {
        let weight = self.weight(now);
        let cell = cell_of(value);
        self.cells[cell] += to_f32(weight);
        self.blocks[cell / BLOCK] += weight;
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
        self.quantile_ln(quantile).map(f64::exp)
    }

    /// The natural logarithm of that bound.
    pub fn quantile_ln(&self, quantile: f64) -> Option<f64> {
        if self.total <= 0.0 {
            return None;
        }
        let mut left = self.total * quantile;
        let slack = 1e-6 * self.total;
        let mut block = 0;
        while block + 1 < self.blocks.len() && left - self.blocks[block] > slack {
            left -= self.blocks[block];
            block += 1;
        }
        let mut cell = block * BLOCK;
        while cell + 1 < (block + 1) * BLOCK {
            left -= f64::from(self.cells[cell]);
            if left <= slack {
                break;
            }
            cell += 1;
        }
        Some((cell + 1) as f64 * GROWTH_LN)
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
        for weight in &mut self.blocks {
            *weight *= scale;
        }
        self.total *= scale;
        self.origin = now;
    }
}

fn cell_of(value: f64) -> usize {
    let cell = value.max(1.0).ln() / GROWTH_LN;
    (amount::to_u32(cell) as usize).min(CELLS - 1)
}

#[expect(clippy::cast_possible_truncation, reason = "a weight needs few digits")]
const fn to_f32(number: f64) -> f32 {
    number as f32
}
