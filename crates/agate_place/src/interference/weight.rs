//! One learned coefficient.

use std::time::Duration;

use agate_core::Moment;

use crate::amount;

/// Part of the halflife for which fading is put off when a mean is only read.
const FADE_STEPS: u32 = 16;

/// A coefficient as evidence-weighted mean, with the prior mean of zero counted in.
#[derive(Debug, Clone, Copy)]
pub(super) struct Weight {
    mean: f64,
    /// Evidence in units of inverse variance, the prior not counted.
    evidence: f64,
    prior: f64,
    updated: Moment,
}

impl Weight {
    pub(super) fn new(now: Moment, prior: f64) -> Self {
        Self {
            mean: 0.0,
            evidence: 0.0,
            prior,
            updated: now,
        }
    }

    /// The mean, faded towards the prior with the age of its evidence.
    pub(super) fn mean(&self, now: Moment, halflife: Duration) -> f64 {
        if now.since(self.updated) < halflife / FADE_STEPS {
            return self.mean;
        }
        let mut faded = *self;
        faded.fade(now, halflife);
        faded.mean
    }

    /// The mean as it was at the last [`Self::fade`].
    pub(super) const fn faded(&self) -> f64 {
        self.mean
    }

    /// The evidence that is left.
    pub(super) fn evidence(&self, now: Moment, halflife: Duration) -> f64 {
        self.evidence * amount::decay(now.since(self.updated), halflife)
    }

    /// Brings mean and evidence up to `now`.
    pub(super) fn fade(&mut self, now: Moment, halflife: Duration) {
        let left = self.evidence(now, halflife);
        if self.evidence > 0.0 {
            let before = self.evidence / (self.evidence + self.prior);
            self.mean *= left / (left + self.prior) / before;
        }
        self.evidence = left;
        self.updated = self.updated.max(now);
    }

    pub(super) fn variance(&self) -> f64 {
        1.0 / (self.evidence + self.prior)
    }

    /// Moves the mean and adds the evidence of one sample.
    pub(super) fn learn(&mut self, change: f64, evidence: f64) {
        self.mean = (self.mean + change).clamp(MIN_MEAN, MAX_MEAN);
        self.evidence = (self.evidence + evidence).min(MAX_EVIDENCE);
    }
}

/// Most evidence that counts, so that a coefficient goes on learning: the share of the error that is
/// laid to it rests on the other coefficients, which may have been off at first.
const MAX_EVIDENCE: f64 = 50.0;
/// Least natural logarithm of the slowdown by a whole machine of one class.
const MIN_MEAN: f64 = -0.2;
/// Largest natural logarithm of the slowdown by a whole machine of one class.
const MAX_MEAN: f64 = 5.0;
