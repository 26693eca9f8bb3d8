//! Learns how many resources a task needs.
//!
//! Declared sizes are wrong in both directions, so a task gets a quantile of the usage observed in
//! its class, with the declared size counted as a few samples. Memory is a hard limit: a run that
//! exceeds it is killed and loses its work. Memory therefore uses a higher quantile and grows after
//! each such kill. Processors are a soft limit: a run that wants more is only slowed, so the
//! preset's quantile applies unchanged. Accelerators are whole devices and are allocated as
//! declared.

mod estimate;
mod histogram;

use std::collections::HashMap;
use std::time::Duration;

use agate_core::{Moment, Resources};

pub use histogram::Histogram;

use crate::hash::KeyHashBuilder;
use crate::{ClassKey, amount};
use estimate::{Estimate, round_up};

/// Time after which the weight of an observed run halves.
const HALFLIFE: Duration = Duration::from_hours(1);

/// Share of the tail beyond the preset's quantile that is accepted for memory.
const MEMORY_TAIL_SHARE: f64 = 0.25;

/// Share of the limit from which a reading is only a lower bound on the real demand.
const CENSORED_SHARE: f64 = 0.97;

/// Factor that estimates the demand behind a reading at the limit.
const CENSORED_FACTOR: f64 = 1.3;

/// Memory growth factor after a run that ran out of memory.
const MEMORY_GROWTH: f64 = 1.6;

#[derive(Debug)]
struct ClassEstimates {
    millicores: Estimate,
    memory: Estimate,
}

/// Declared, allocated and used resources of one run.
#[derive(Debug, Clone, Copy)]
pub struct RunUsage {
    /// What the submitter declared.
    pub declared: Resources,
    /// What the run was allocated.
    pub given: Resources,
    /// Peak usage.
    pub peak: Resources,
}

/// Learned sizes of all classes.
#[derive(Debug)]
pub struct Sizing {
    quantile: f64,
    classes: HashMap<ClassKey, ClassEstimates, KeyHashBuilder>,
}

impl Sizing {
    /// Creates a model without samples.
    pub fn new(quantile_percent: u32) -> Self {
        Self {
            quantile: amount::ratio(quantile_percent),
            classes: HashMap::default(),
        }
    }

    /// Replaces the quantile.
    pub fn configure(&mut self, quantile_percent: u32) {
        self.quantile = amount::ratio(quantile_percent);
        let memory = memory_quantile(self.quantile);
        for class in self.classes.values_mut() {
            class.millicores.set_quantile(self.quantile);
            class.memory.set_quantile(memory);
        }
    }

    /// Learns from a run that finished or ran out of memory.
    pub fn observe(&mut self, now: Moment, class: ClassKey, run: RunUsage) {
        let quantile = self.quantile;
        let estimates = self.classes.entry(class).or_insert_with(|| ClassEstimates {
            millicores: Estimate::new(quantile, HALFLIFE),
            memory: Estimate::new(memory_quantile(quantile), HALFLIFE),
        });
        let (declared, given, peak) = (run.declared, run.given, run.peak);
        let millicores = uncensored(peak.millicores, given.millicores);
        estimates
            .millicores
            .add(now, declared.millicores, millicores);
        let memory = uncensored(peak.memory_mib, given.memory_mib);
        estimates.memory.add(now, declared.memory_mib, memory);
    }

    /// Returns the estimated demand of a task, but at least `floor`, the minimum known from earlier
    /// runs of the task.
    pub fn demand(
        &self,
        now: Moment,
        class: ClassKey,
        declared: Resources,
        floor: Resources,
    ) -> Resources {
        let learned = match self.classes.get(&class) {
            None => declared,
            Some(estimates) => Resources {
                millicores: round_up(estimates.millicores.demand(now, declared.millicores)),
                memory_mib: round_up(estimates.memory.demand(now, declared.memory_mib)),
                accelerators: declared.accelerators,
            },
        };
        learned.max(floor)
    }
}

/// Returns the minimum for the next run of a task that ran out of memory with `given`.
pub fn grow_memory(given: Resources) -> Resources {
    Resources {
        memory_mib: round_up(f64::from(given.memory_mib) * MEMORY_GROWTH),
        ..Resources::ZERO
    }
}

fn memory_quantile(quantile: f64) -> f64 {
    1.0 - (1.0 - quantile) * MEMORY_TAIL_SHARE
}

/// Returns the estimated demand behind a reading. A reading at the limit counts as more than the
/// limit; otherwise sizes could never grow.
fn uncensored(peak: u32, given: u32) -> f64 {
    let (peak, given) = (f64::from(peak), f64::from(given));
    if given > 0.0 && peak >= given * CENSORED_SHARE {
        given * CENSORED_FACTOR
    } else {
        peak
    }
}
