//! How much batch work slows urgent work.
//!
//! The logarithm of the slowdown of an urgent class is the sum, over the batch classes that run, of a
//! coefficient times the share of the machine that the class holds, plus an intercept for what load
//! alone does. Coefficients are kept per urgent class, batch class and band of load. A sample's error
//! is split over the classes that ran when it was taken, by share and by how uncertain each
//! coefficient is, so a class that is well known isn't blamed for a newcomer.

mod band;
mod weight;

use std::collections::HashMap;
use std::time::Duration;

use agate_core::Moment;

pub use band::Band;

use crate::ClassKey;
use crate::hash::KeyHashBuilder;
use crate::workers::Mix;
use weight::Weight;

/// Most coefficients that are kept.
const MAX_WEIGHTS: usize = 4_096;

/// Variance of the logarithm of one sample around the model.
const NOISE: f64 = 0.04;

/// Inverse variance of a coefficient before any sample.
const PRIOR: f64 = 0.5;

/// Inverse variance of an intercept before any sample: load alone is expected to do little.
const INTERCEPT_PRIOR: f64 = 10.0;

/// Evidence above which the coefficients of a class count as known.
const KNOWN: f64 = 2.0;

/// What a coefficient belongs to.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Pair {
    urgent: ClassKey,
    /// The batch class; none for the intercept.
    batch: Option<ClassKey>,
    band: Band,
}

/// One reading of how an urgent class fares.
#[derive(Debug, Clone, Copy)]
pub struct Sample {
    /// The urgent class.
    pub urgent: ClassKey,
    /// Load when it was taken.
    pub band: Band,
    /// When it was taken.
    pub measured_at: Moment,
    /// Slowdown against the class alone on an idle machine; 1.0 is none.
    pub slowdown: f64,
}

/// The learned slowdowns.
#[derive(Debug)]
pub struct Model {
    weights: HashMap<Pair, Weight, KeyHashBuilder>,
    halflife: Duration,
}

impl Model {
    /// Starts without knowledge: no class slows another.
    pub fn new(halflife: Duration) -> Self {
        Self {
            weights: HashMap::default(),
            halflife,
        }
    }

    /// Replaces the halflife.
    pub fn configure(&mut self, halflife: Duration) {
        self.halflife = halflife;
    }

    /// Number of coefficients kept.
    pub fn len(&self) -> usize {
        self.weights.len()
    }

    /// Whether nothing has been learned.
    pub fn is_empty(&self) -> bool {
        self.weights.is_empty()
    }

    /// Learns from a sample, given what ran when it was taken.
    pub fn learn(&mut self, now: Moment, sample: Sample, mix: &Mix) {
        let inputs = inputs(sample.urgent, sample.band, mix);
        self.make_space(now, inputs.len());
        let mut weights: Vec<(Pair, f64, Weight)> = Vec::with_capacity(inputs.len());
        for (pair, share) in inputs {
            let known = self.weights.get(&pair).copied();
            let mut weight = known.unwrap_or_else(|| Weight::new(now, prior_of(pair)));
            weight.fade(now, self.halflife);
            weights.push((pair, share, weight));
        }
        let of_all = weights
            .iter()
            .fold((NOISE, 0.0), |(spread, sum), (_, share, weight)| {
                (
                    spread + weight.variance() * share * share,
                    sum + weight.faded() * share,
                )
            });
        let (spread, predicted) = of_all;
        let error = sample.slowdown.max(0.1).ln() - predicted;
        for (pair, share, mut weight) in weights {
            let own = weight.variance() * share * share;
            let gain = weight.variance() * share / spread;
            // What the other coefficients leave open is noise to this one.
            weight.learn(gain * error, share * share / (spread - own));
            self.weights.insert(pair, weight);
        }
    }

    /// Predicted slowdown of an urgent class by load and by batch work; 1.0 is none.
    pub fn predict(&self, now: Moment, urgent: ClassKey, band: Band, mix: &Mix) -> f64 {
        let parts = mix.parts().iter();
        let by_batch: f64 = parts
            .map(|&(batch, share)| self.coefficient(now, urgent, band, batch) * share)
            .sum();
        (self.intercept(now, urgent, band) + by_batch).exp()
    }

    /// Predicted slowdown by load and batch work with `share` more of `batch`, and the logarithm of what
    /// that adds.
    pub fn predict_with(
        &self,
        now: Moment,
        urgent: ClassKey,
        band: Band,
        mix: &Mix,
        (batch, share): (ClassKey, f64),
    ) -> (f64, f64) {
        let added = self.coefficient(now, urgent, band, batch) * share;
        (self.predict(now, urgent, band, mix) * added.exp(), added)
    }

    /// Logarithm of the slowdown of an urgent class by load alone.
    fn intercept(&self, now: Moment, urgent: ClassKey, band: Band) -> f64 {
        let pair = Pair {
            urgent,
            batch: None,
            band,
        };
        let weight = self.weights.get(&pair);
        weight.map_or(0.0, |w| w.mean(now, self.halflife).max(0.0))
    }

    /// Logarithm of the slowdown that a whole machine of `batch` causes to `urgent`.
    pub fn coefficient(&self, now: Moment, urgent: ClassKey, band: Band, batch: ClassKey) -> f64 {
        let pair = Pair {
            urgent,
            batch: Some(batch),
            band,
        };
        let weight = self.weights.get(&pair);
        weight.map_or(0.0, |w| w.mean(now, self.halflife).max(0.0))
    }

    /// Whether enough samples tell what `batch` does to `urgent` in this band.
    pub fn has_evidence(&self, now: Moment, urgent: ClassKey, band: Band, batch: ClassKey) -> bool {
        let pair = Pair {
            urgent,
            batch: Some(batch),
            band,
        };
        let weight = self.weights.get(&pair);
        weight.is_some_and(|w| w.evidence(now, self.halflife) >= KNOWN)
    }

    /// Drops the half with the least evidence when the table is full.
    fn make_space(&mut self, now: Moment, wanted: usize) {
        if self.weights.len() + wanted <= MAX_WEIGHTS {
            return;
        }
        let halflife = self.halflife;
        let mut ranked: Vec<(f64, Pair)> = self
            .weights
            .iter()
            .map(|(&pair, weight)| (weight.evidence(now, halflife), pair))
            .collect();
        ranked.sort_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        for (_, pair) in ranked.iter().take(MAX_WEIGHTS / 2) {
            self.weights.remove(pair);
        }
    }
}

/// The coefficients that a sample bears on, with their factors.
fn inputs(urgent: ClassKey, band: Band, mix: &Mix) -> Vec<(Pair, f64)> {
    let pair = |batch| Pair {
        urgent,
        batch,
        band,
    };
    let parts = mix.parts().iter();
    let mut inputs: Vec<(Pair, f64)> = parts
        .map(|&(batch, share)| (pair(Some(batch)), share))
        .collect();
    inputs.push((pair(None), 1.0));
    inputs
}

fn prior_of(pair: Pair) -> f64 {
    match pair.batch {
        Some(_) => PRIOR,
        None => INTERCEPT_PRIOR,
    }
}
