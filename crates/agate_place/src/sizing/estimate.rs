//! Learned usage of one resource by one class.

use std::time::Duration;

use agate_core::Moment;

use super::histogram::Histogram;
use crate::amount;

/// Weight of the declared size, in samples.
const PRIOR_SAMPLES: f64 = 4.0;

/// Number of refits after which the basis is chosen again.
const BASIS_REFITS: u32 = 8;

/// Scale of the ratio of used to declared, so that it fits the histogram's range.
const RATIO_SCALE: f64 = 1_000.0;

/// Usage of one resource by the tasks of a class, both absolute and relative to the declared size.
#[derive(Debug, Clone)]
pub(super) struct Estimate {
    quantile: f64,
    used: Histogram,
    ratio: Histogram,
    fit: Option<Fit>,
    /// Number of refits; the basis is chosen again every [`BASIS_REFITS`].
    refits: u32,
}

/// Result derived from the histograms, computed once per sample.
#[derive(Debug, Clone, Copy)]
struct Fit {
    basis: Basis,
    /// Natural logarithm of the quantile.
    quantile_ln: f64,
}

/// The histogram that the quantile is taken from.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Basis {
    /// Absolute usage: tasks of the class are alike, whatever they declare.
    Used,
    /// Usage relative to the declared size: tasks differ, and their declarations reflect it.
    Ratio,
}

impl Estimate {
    pub(super) fn new(quantile: f64, halflife: Duration) -> Self {
        Self {
            quantile,
            used: Histogram::new(halflife),
            ratio: Histogram::new(halflife),
            fit: None,
            refits: 0,
        }
    }

    pub(super) fn set_quantile(&mut self, quantile: f64) {
        self.quantile = quantile;
        self.refit();
    }

    pub(super) fn add(&mut self, now: Moment, declared: u32, used: f64) {
        self.used.add(now, used);
        let declared = f64::from(declared.max(1));
        self.ratio.add(now, used / declared * RATIO_SCALE);
        self.refit();
    }

    /// Returns the quantile of usage for a task of this declared size. The declared size itself
    /// counts as a few samples.
    pub(super) fn demand(&self, now: Moment, declared: u32) -> f64 {
        let declared = f64::from(declared);
        let Some(fit) = self.fit else {
            return declared;
        };
        let quantile_ln = match fit.basis {
            Basis::Used => fit.quantile_ln,
            Basis::Ratio => fit.quantile_ln + declared.max(1.0).ln(),
        };
        let samples = self.used.samples(now);
        let confidence = samples / (samples + PRIOR_SAMPLES);
        (confidence * quantile_ln + (1.0 - confidence) * declared.max(1.0).ln()).exp()
    }

    fn choose_basis(&self) -> Basis {
        if log_spread(&self.used) <= log_spread(&self.ratio) {
            Basis::Used
        } else {
            Basis::Ratio
        }
    }

    fn refit(&mut self) {
        let basis = match self.fit {
            Some(fit) if !self.refits.is_multiple_of(BASIS_REFITS) => fit.basis,
            _ => self.choose_basis(),
        };
        self.refits = self.refits.wrapping_add(1);
        let quantile_ln = match basis {
            Basis::Used => self.used.quantile_ln(self.quantile),
            Basis::Ratio => {
                let scaled = self.ratio.quantile_ln(self.quantile);
                scaled.map(|ln| ln - RATIO_SCALE.ln())
            }
        };
        self.fit = quantile_ln.map(|quantile_ln| Fit { basis, quantile_ln });
    }
}

/// Returns the log ratio of the upper to the lower samples.
fn log_spread(histogram: &Histogram) -> f64 {
    let at = |quantile| histogram.quantile_ln(quantile).unwrap_or(0.0);
    at(0.9) - at(0.1)
}

/// Rounds a demand up to a whole unit.
pub(super) fn round_up(demand: f64) -> u32 {
    amount::to_u32(demand.ceil())
}
