//! A learned coefficient of the interference model.

use std::time::Duration;

use agate_core::Moment;

use crate::amount;

/// Reads skip the decay for this fraction of a half-life after an update.
const DECAY_STEPS_PER_HALFLIFE: u32 = 16;

/// A coefficient as an evidence-weighted mean, including a prior mean of zero.
#[derive(Debug, Clone, Copy)]
pub(super) struct Coefficient {
    mean: f64,
    /// Evidence as inverse variance, without the prior.
    evidence: f64,
    prior_precision: f64,
    updated: Moment,
}

impl Coefficient {
    pub(super) fn new(now: Moment, prior_precision: f64) -> Self {
        Self {
            mean: 0.0,
            evidence: 0.0,
            prior_precision,
            updated: now,
        }
    }

    /// Returns the mean, decayed toward the prior as its evidence ages.
    pub(super) fn mean(&self, now: Moment, halflife: Duration) -> f64 {
        if now.since(self.updated) < halflife / DECAY_STEPS_PER_HALFLIFE {
            return self.mean;
        }
        let mut decayed = *self;
        decayed.decay_to(now, halflife);
        decayed.mean
    }

    /// Returns the mean as of the last [`Self::decay_to`].
    pub(super) const fn decayed_mean(&self) -> f64 {
        self.mean
    }

    /// Returns the decayed evidence.
    pub(super) fn evidence(&self, now: Moment, halflife: Duration) -> f64 {
        self.evidence * amount::decay(now.since(self.updated), halflife)
    }

    /// Decays mean and evidence to `now`.
    pub(super) fn decay_to(&mut self, now: Moment, halflife: Duration) {
        let remaining = self.evidence(now, halflife);
        if self.evidence > 0.0 {
            let before = self.evidence / (self.evidence + self.prior_precision);
            self.mean *= remaining / (remaining + self.prior_precision) / before;
        }
        self.evidence = remaining;
        self.updated = self.updated.max(now);
    }

    pub(super) fn variance(&self) -> f64 {
        1.0 / (self.evidence + self.prior_precision)
    }

    /// Shifts the mean and adds the evidence of one sample.
    pub(super) fn update(&mut self, change: f64, evidence: f64) {
        self.mean = (self.mean + change).clamp(MIN_MEAN, MAX_MEAN);
        self.evidence = (self.evidence + evidence).min(MAX_EVIDENCE);
    }
}

/// Maximum evidence, so that a coefficient keeps learning. Its share of the error depends on the
/// other coefficients, which may have been inaccurate at first.
const MAX_EVIDENCE: f64 = 50.0;
/// Minimum log slowdown caused by a whole machine of one class.
const MIN_MEAN: f64 = -0.2;
/// Maximum log slowdown caused by a whole machine of one class.
const MAX_MEAN: f64 = 5.0;
