//! How much a task is given.
//!
//! Declared sizes are off both ways, so a class is admitted by a quantile of what its tasks were seen
//! to use; the declared size counts as a few samples. Memory is a hard limit: a run that passes its
//! share is killed and its work is lost, so memory is taken at a quantile nearer to 1 and raised after
//! each such end. Processors are soft: a run that wants more is slowed, so the preset's quantile
//! stands as it is. Accelerators are whole devices and given as declared.

mod estimate;
mod histogram;

use std::collections::HashMap;
use std::time::Duration;

use agate_core::{Moment, Resources};

pub use histogram::Histogram;

use crate::hash::KeyHashBuilder;
use crate::{ClassKey, amount};
use estimate::{Estimate, whole};

/// Time after which an observed run counts half.
const HALFLIFE: Duration = Duration::from_hours(1);

/// Share of the tail beyond the preset's quantile that is still accepted for memory.
const MEMORY_TAIL: f64 = 0.25;

/// Use of a limit above which a reading says only "at least this".
const CENSORED: f64 = 0.97;

/// Factor on a limit that was reached, as the guess at the use behind it.
const BEYOND: f64 = 1.3;

/// Factor on the memory of a run that ran out of it, for the next run of the task.
const NEXT_SIZE: f64 = 1.6;

#[derive(Debug)]
struct ClassSize {
    millicores: Estimate,
    memory: Estimate,
}

/// What one run was given and used.
#[derive(Debug, Clone, Copy)]
pub struct RunUsage {
    /// What the submitter declared.
    pub declared: Resources,
    /// What the run was given.
    pub given: Resources,
    /// The most that it used.
    pub peak: Resources,
}

/// Learned sizes of every class.
#[derive(Debug)]
pub struct Sizing {
    quantile: f64,
    classes: HashMap<ClassKey, ClassSize, KeyHashBuilder>,
}

impl Sizing {
    /// Starts without knowledge.
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

    /// Learns from a run that ended by itself, or ran out of memory.
    pub fn observe(&mut self, now: Moment, class: ClassKey, run: RunUsage) {
        let quantile = self.quantile;
        let size = self.classes.entry(class).or_insert_with(|| ClassSize {
            millicores: Estimate::new(quantile, HALFLIFE),
            memory: Estimate::new(memory_quantile(quantile), HALFLIFE),
        });
        let (declared, given, peak) = (run.declared, run.given, run.peak);
        let millicores = uncensored(peak.millicores, given.millicores);
        size.millicores.add(now, declared.millicores, millicores);
        let memory = uncensored(peak.memory_mib, given.memory_mib);
        size.memory.add(now, declared.memory_mib, memory);
    }

    /// What a task needs as far as is known; `floor` is what earlier runs of the task proved.
    pub fn demand(
        &self,
        now: Moment,
        class: ClassKey,
        declared: Resources,
        floor: Resources,
    ) -> Resources {
        let learned = match self.classes.get(&class) {
            None => declared,
            Some(size) => Resources {
                millicores: whole(size.millicores.demand(now, declared.millicores)),
                memory_mib: whole(size.memory.demand(now, declared.memory_mib)),
                accelerators: declared.accelerators,
            },
        };
        learned.max(floor)
    }
}

/// What the next run of a task gets at least after a run with `given` ran out of memory.
pub fn grow_memory(given: Resources) -> Resources {
    Resources {
        memory_mib: whole(f64::from(given.memory_mib) * NEXT_SIZE),
        ..Resources::ZERO
    }
}

fn memory_quantile(quantile: f64) -> f64 {
    1.0 - (1.0 - quantile) * MEMORY_TAIL
}

/// The use behind a reading: a reading at the limit is taken as a use beyond it, or sizes could
/// never grow.
fn uncensored(peak: u32, given: u32) -> f64 {
    let (peak, given) = (f64::from(peak), f64::from(given));
    if given > 0.0 && peak >= given * CENSORED {
        given * BEYOND
    } else {
        peak
    }
}
