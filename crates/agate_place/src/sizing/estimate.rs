//! The learned use of one resource by one class.

use std::time::Duration;

use agate_core::Moment;

use super::histogram::Histogram;
use crate::amount;

/// Samples that a declared size counts as.
const PRIOR_SAMPLES: f64 = 4.0;

/// Samples after which the basis is chosen anew.
const BASIS_SAMPLES: u32 = 8;

/// Fixed-point scale of ratios of used to declared, so that they fit the histogram's range.
const RATIO_SCALE: f64 = 1_000.0;

/// The use of one resource by the tasks of a class: by itself and relative to what was declared.
#[derive(Debug, Clone)]
pub(super) struct Estimate {
    quantile: f64,
    used: Histogram,
    ratio: Histogram,
    learned: Option<Learned>,
    /// Samples since the basis was last chosen.
    samples: u32,
}

/// What follows from the histograms, worked out once for each new sample.
#[derive(Debug, Clone, Copy)]
struct Learned {
    by: Basis,
    /// Natural logarithm of the quantile.
    quantile_ln: f64,
}

/// What the quantile is a quantile of.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Basis {
    /// The use itself: tasks of the class are alike, whatever is declared.
    Used,
    /// The use relative to the declared size: tasks differ, and declarations follow them.
    Ratio,
}

impl Estimate {
    pub(super) fn new(quantile: f64, halflife: Duration) -> Self {
        Self {
            quantile,
            used: Histogram::new(halflife),
            ratio: Histogram::new(halflife),
            learned: None,
            samples: 0,
        }
    }

    pub(super) fn set_quantile(&mut self, quantile: f64) {
        self.quantile = quantile;
        self.learn();
    }

    pub(super) fn add(&mut self, now: Moment, declared: u32, used: f64) {
        self.used.add(now, used);
        let declared = f64::from(declared.max(1));
        self.ratio.add(now, used / declared * RATIO_SCALE);
        self.learn();
    }

    /// The quantile of use for a task of this declared size; the declared size itself counts as a
    /// few samples.
    pub(super) fn demand(&self, now: Moment, declared: u32) -> f64 {
        let declared = f64::from(declared);
        let Some(learned) = self.learned else {
            return declared;
        };
        let quantile_ln = match learned.by {
            Basis::Used => learned.quantile_ln,
            Basis::Ratio => learned.quantile_ln + declared.max(1.0).ln(),
        };
        let samples = self.used.samples(now);
        let trust = samples / (samples + PRIOR_SAMPLES);
        (trust * quantile_ln + (1.0 - trust) * declared.max(1.0).ln()).exp()
    }

    fn basis(&self) -> Basis {
        if spread(&self.used) <= spread(&self.ratio) {
            Basis::Used
        } else {
            Basis::Ratio
        }
    }

    fn learn(&mut self) {
        let by = match self.learned {
            Some(learned) if !self.samples.is_multiple_of(BASIS_SAMPLES) => learned.by,
            _ => self.basis(),
        };
        self.samples = self.samples.wrapping_add(1);
        let quantile_ln = match by {
            Basis::Used => self.used.quantile_ln(self.quantile),
            Basis::Ratio => {
                let scaled = self.ratio.quantile_ln(self.quantile);
                scaled.map(|ln| ln - RATIO_SCALE.ln())
            }
        };
        self.learned = quantile_ln.map(|quantile_ln| Learned { by, quantile_ln });
    }
}

/// How far the upper samples lie from the lower ones, as the logarithm of their ratio.
fn spread(histogram: &Histogram) -> f64 {
    let at = |quantile| histogram.quantile_ln(quantile).unwrap_or(0.0);
    at(0.9) - at(0.1)
}

/// Rounds a demand up to a whole unit.
pub(super) fn whole(demand: f64) -> u32 {
    amount::to_u32(demand.ceil())
}
