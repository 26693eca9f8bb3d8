//! Learns how much batch work slows urgent work.
//!
//! The log slowdown of an urgent class is modeled as a sum over the running batch classes, each
//! with a coefficient times its share of the machine, plus an intercept for the effect of load
//! alone. There is one coefficient per urgent class, batch class and load band. The error of a
//! sample is split among the classes that ran when it was taken, in proportion to their share and
//! the variance of their coefficients, so that a well-known class isn't blamed for a new one.

mod band;
mod coefficient;

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

pub use band::Band;

use crate::ClassKey;
use crate::hash::KeyHashBuilder;
use crate::workers::Mix;
use coefficient::Coefficient;

/// Maximum number of coefficients.
const MAX_COEFFICIENTS: usize = 4_096;

/// Variance of the logarithm of one sample around the model.
const SAMPLE_VARIANCE: f64 = 0.04;

/// Inverse variance of a coefficient before any sample.
const PRIOR_PRECISION: f64 = 0.5;

/// Inverse variance of an intercept before any sample. It is high because load alone is expected to
/// have little effect.
const INTERCEPT_PRIOR_PRECISION: f64 = 10.0;

/// Evidence from which a coefficient counts as known.
const MIN_EVIDENCE: f64 = 2.0;

/// Identifies a coefficient.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct CoefficientKey {
    urgent: ClassKey,
    /// The batch class; `None` for the intercept.
    batch: Option<ClassKey>,
    band: Band,
}

/// A slowdown reading of an urgent class.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// The urgent class.
    pub urgent: ClassKey,
    /// Load band at the time of the reading.
    pub band: Band,
    /// When the reading was taken.
    pub measured_at: Moment,
    /// Slowdown relative to the class alone on an idle machine; 1.0 means none.
    pub slowdown: f64,
}

/// The learned interference coefficients.
#[derive(Debug)]
pub struct Model {
    coefficients: HashMap<CoefficientKey, Coefficient, KeyHashBuilder>,
    halflife: Duration,
}

impl Model {
    /// Creates a model without samples, which predicts no slowdown.
    pub fn new(halflife: Duration) -> Self {
        Self {
            coefficients: HashMap::default(),
            halflife,
        }
    }

    /// Replaces the half-life.
    pub fn configure(&mut self, halflife: Duration) {
        self.halflife = halflife;
    }

    /// Returns the number of coefficients.
    pub fn len(&self) -> usize {
        self.coefficients.len()
    }

    /// Whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.coefficients.is_empty()
    }

    /// Learns from a sample, given the batch work that ran when it was taken.
    pub fn learn(&mut self, now: Moment, sample: Sample, mix: &Mix) {
        let inputs = inputs(sample.urgent, sample.band, mix);
        self.prune(now, inputs.len());
        let mut coefficients: Vec<(CoefficientKey, f64, Coefficient)> =
            Vec::with_capacity(inputs.len());
        for (key, share) in inputs {
            let known = self.coefficients.get(&key).copied();
            let mut coef = known.unwrap_or_else(|| Coefficient::new(now, prior_precision(key)));
            coef.decay_to(now, self.halflife);
            coefficients.push((key, share, coef));
        }
        let totals = coefficients.iter().fold(
            (SAMPLE_VARIANCE, 0.0),
            |(total_variance, sum), (_, share, coef)| {
                (
                    total_variance + coef.variance() * share * share,
                    sum + coef.decayed_mean() * share,
                )
            },
        );
        let (total_variance, predicted) = totals;
        let error = sample.slowdown.max(0.1).ln() - predicted;
        for (key, share, mut coef) in coefficients {
            let own_variance = coef.variance() * share * share;
            let gain = coef.variance() * share / total_variance;
            // For this coefficient, the uncertainty of the others is noise.
            coef.update(
                gain * error,
                share * share / (total_variance - own_variance),
            );
            self.coefficients.insert(key, coef);
        }
    }

    /// Returns the predicted slowdown of an urgent class under load and batch work; 1.0 means none.
    pub fn predict(&self, now: Moment, urgent: ClassKey, band: Band, mix: &Mix) -> f64 {
        let parts = mix.parts().iter();
        let by_batch: f64 = parts
            .map(|&(batch, share)| self.coefficient(now, urgent, band, batch) * share)
            .sum();
        (self.intercept(now, urgent, band) + by_batch).exp()
    }

    /// Returns the predicted slowdown with an additional `share` of `batch`, and the log slowdown
    /// that it adds.
    pub fn predict_with(
        &self,
        now: Moment,
        urgent: ClassKey,
        band: Band,
        mix: &Mix,
        (batch, share): (ClassKey, f64),
    ) -> (f64, f64) {
        let added_ln = self.coefficient(now, urgent, band, batch) * share;
        (
            self.predict(now, urgent, band, mix) * added_ln.exp(),
            added_ln,
        )
    }

    /// Returns the log slowdown of an urgent class caused by load alone.
    fn intercept(&self, now: Moment, urgent: ClassKey, band: Band) -> f64 {
        let key = CoefficientKey {
            urgent,
            batch: None,
            band,
        };
        let coef = self.coefficients.get(&key);
        coef.map_or(0.0, |w| w.mean(now, self.halflife).max(0.0))
    }

    /// Returns the log slowdown of `urgent` caused by a whole machine of `batch`.
    pub fn coefficient(&self, now: Moment, urgent: ClassKey, band: Band, batch: ClassKey) -> f64 {
        let key = CoefficientKey {
            urgent,
            batch: Some(batch),
            band,
        };
        let coef = self.coefficients.get(&key);
        coef.map_or(0.0, |w| w.mean(now, self.halflife).max(0.0))
    }

    /// Whether there are enough samples of the effect of `batch` on `urgent` in this band.
    pub fn has_evidence(&self, now: Moment, urgent: ClassKey, band: Band, batch: ClassKey) -> bool {
        let key = CoefficientKey {
            urgent,
            batch: Some(batch),
            band,
        };
        let coef = self.coefficients.get(&key);
        coef.is_some_and(|w| w.evidence(now, self.halflife) >= MIN_EVIDENCE)
    }

    /// Drops the half of the coefficients with the least evidence if the table is full.
    fn prune(&mut self, now: Moment, wanted: usize) {
        if self.coefficients.len() + wanted <= MAX_COEFFICIENTS {
            return;
        }
        let halflife = self.halflife;
        let mut ranked: Vec<(f64, CoefficientKey)> = self
            .coefficients
            .iter()
            .map(|(&key, coef)| (coef.evidence(now, halflife), key))
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        for (_, key) in ranked.iter().take(MAX_COEFFICIENTS / 2) {
            self.coefficients.remove(key);
        }
    }
}

/// Returns the coefficients that a sample updates, with their inputs.
fn inputs(urgent: ClassKey, band: Band, mix: &Mix) -> Vec<(CoefficientKey, f64)> {
    let key = |batch| CoefficientKey {
        urgent,
        batch,
        band,
    };
    let parts = mix.parts().iter();
    let mut inputs: Vec<(CoefficientKey, f64)> = parts
        .map(|&(batch, share)| (key(Some(batch)), share))
        .collect();
    inputs.push((key(None), 1.0));
    inputs
}

fn prior_precision(key: CoefficientKey) -> f64 {
    match key.batch {
        Some(_) => PRIOR_PRECISION,
        None => INTERCEPT_PRIOR_PRECISION,
    }
}
