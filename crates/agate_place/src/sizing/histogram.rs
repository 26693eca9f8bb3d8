//! Streaming quantiles with exponential decay of old samples.

use std::time::Duration;

use agate_core::Moment;

use crate::amount;

/// Natural logarithm of 1.1, the ratio of neighboring bucket bounds. A quantile is off by at most
/// this factor.
const GROWTH_LN: f64 = 0.095_310_179_804_324_87;

/// Number of buckets. The last one starts above 3,000,000.
const BUCKET_COUNT: usize = 160;

/// Buckets per block. The quantile search sums blocks first.
const BLOCK_BUCKETS: usize = 16;

/// Sample weight above which all weights are rescaled.
const MAX_WEIGHT: f64 = 1e6;

/// A histogram with exponentially growing buckets. The weight of a sample halves with each
/// half-life.
#[derive(Debug, Clone)]
pub struct Histogram {
    buckets: Vec<f32>,
    /// Sum of each block of buckets.
    blocks: [f64; BUCKET_COUNT / BLOCK_BUCKETS],
    total: f64,
    /// The time at which a new sample has weight 1.
    origin: Moment,
    halflife: Duration,
}

impl Histogram {
    /// Creates an empty histogram.
    pub fn new(halflife: Duration) -> Self {
        Self {
            buckets: vec![0.0; BUCKET_COUNT],
            blocks: [0.0; BUCKET_COUNT / BLOCK_BUCKETS],
            total: 0.0,
            origin: Moment::ZERO,
            halflife,
        }
    }

    /// Adds a sample.
    pub fn add(&mut self, now: Moment, value: f64) {
        let weight = self.weight(now);
        let bucket = bucket_of(value);
        self.buckets[bucket] += to_f32(weight);
        self.blocks[bucket / BLOCK_BUCKETS] += weight;
        self.total += weight;
        if weight > MAX_WEIGHT {
            self.rebase(now);
        }
    }

    /// Returns the decayed number of samples.
    pub fn samples(&self, now: Moment) -> f64 {
        self.total / self.weight(now)
    }

    /// Returns the upper bound of the bucket that holds `quantile` of the samples.
    pub fn quantile(&self, quantile: f64) -> Option<f64> {
        self.quantile_ln(quantile).map(f64::exp)
    }

    /// Returns the natural logarithm of [`Self::quantile`].
    pub fn quantile_ln(&self, quantile: f64) -> Option<f64> {
        if self.total <= 0.0 {
            return None;
        }
        let mut remaining = self.total * quantile;
        let tolerance = 1e-6 * self.total;
        let mut block = 0;
        while block + 1 < self.blocks.len() && remaining - self.blocks[block] > tolerance {
            remaining -= self.blocks[block];
            block += 1;
        }
        let mut bucket = block * BLOCK_BUCKETS;
        while bucket + 1 < (block + 1) * BLOCK_BUCKETS {
            remaining -= f64::from(self.buckets[bucket]);
            if remaining <= tolerance {
                break;
            }
            bucket += 1;
        }
        Some((bucket + 1) as f64 * GROWTH_LN)
    }

    /// Returns the weight of a sample taken at `now`.
    fn weight(&self, now: Moment) -> f64 {
        1.0 / amount::decay(now.since(self.origin), self.halflife)
    }

    /// Moves the origin to `now` to keep weights in range.
    fn rebase(&mut self, now: Moment) {
        let scale = 1.0 / self.weight(now);
        for weight in &mut self.buckets {
            *weight *= to_f32(scale);
        }
        for weight in &mut self.blocks {
            *weight *= scale;
        }
        self.total *= scale;
        self.origin = now;
    }
}

fn bucket_of(value: f64) -> usize {
    let bucket = value.max(1.0).ln() / GROWTH_LN;
    (amount::to_u32(bucket) as usize).min(BUCKET_COUNT - 1)
}

#[expect(clippy::cast_possible_truncation, reason = "a weight needs few digits")]
const fn to_f32(number: f64) -> f32 {
    number as f32
}
