//! Steps that found no worker in a round of placement.

use std::collections::HashMap;

use agate_core::Resources;

use crate::plan::order::Turn;
use crate::spec::StepSpec;

/// What was asked for without success. No room becomes free within a round, so a task that asks for
/// as much finds no worker either, and the workers need not be compared again.
#[derive(Debug, Default)]
pub(super) struct Misses(HashMap<Key, Vec<(Resources, f64)>>);

/// What the workers are compared with besides the demand. Best-effort tasks fit where others don't: they
/// use the processors that others leave idle or that are reserved.
#[derive(Debug, PartialEq, Eq, Hash)]
struct Key {
    service: String,
    image: String,
    label: String,
    best_effort: bool,
}

impl Misses {
    pub fn add(&mut self, turn: &Turn<'_>, step: &StepSpec) {
        if step.per_worker > 0 || step.one_rack {
            return;
        }
        let misses = self.0.entry(key(turn, step)).or_default();
        misses.push((step.demand, turn.min_speed));
    }

    pub fn covers(&self, turn: &Turn<'_>, step: &StepSpec) -> bool {
        let Some(misses) = self.0.get(&key(turn, step)) else {
            return false;
        };
        let mut misses = misses.iter();
        misses.any(|(demand, speed)| demand.fits_in(step.demand) && *speed <= turn.min_speed)
    }
}

fn key(turn: &Turn<'_>, step: &StepSpec) -> Key {
    Key {
        service: turn.job.policy.service.clone(),
        image: step.image.clone(),
        label: step.label.clone(),
        best_effort: step.best_effort,
    }
}
