//! Batch work that ran on a worker in the past.

use std::collections::VecDeque;
use std::time::Duration;

use agate_core::Moment;

use crate::ClassKey;

/// Maximum age of a reading that can be attributed to batch work.
pub const MAX_READING_AGE: Duration = Duration::from_mins(1);

/// Maximum number of changes kept per worker.
const MAX_CHANGES: usize = 64;

/// Shares of a worker's processors, by class of batch work.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Mix(Vec<(ClassKey, f64)>);

impl Mix {
    /// Returns the classes and their shares.
    pub fn parts(&self) -> &[(ClassKey, f64)] {
        &self.0
    }

    /// Returns the share of `class`.
    pub fn share(&self, class: ClassKey) -> f64 {
        let part = self.0.iter().find(|(c, _)| *c == class);
        part.map_or(0.0, |&(_, share)| share)
    }

    /// Adds `change` to the share of `class`; drops shares that reach zero.
    pub fn add(&mut self, class: ClassKey, change: f64) {
        match self.0.iter_mut().find(|(c, _)| *c == class) {
            Some((_, share)) => *share += change,
            None => self.0.push((class, change)),
        }
        self.0.retain(|&(_, share)| share > 1e-9);
    }
}

/// Past mixes of one worker, newest last.
#[derive(Debug, Default)]
pub struct History {
    changes: VecDeque<(Moment, Mix)>,
}

impl History {
    /// Records that `mix` runs from `now` on.
    pub fn record(&mut self, now: Moment, mix: Mix) {
        if let Some((at, last)) = self.changes.back_mut()
            && *at == now
        {
            *last = mix;
            return;
        }
        self.changes.push_back((now, mix));
        self.trim(now);
    }

    /// Returns what ran at `at`, or `None` if that is before the recorded history.
    pub fn at(&self, at: Moment) -> Option<&Mix> {
        let after = self.changes.partition_point(|&(from, _)| from <= at);
        let (_, mix) = self.changes.get(after.checked_sub(1)?)?;
        Some(mix)
    }

    fn trim(&mut self, now: Moment) {
        let cutoff = now - MAX_READING_AGE;
        let is_expired = |changes: &VecDeque<(Moment, Mix)>| {
            changes.get(1).is_some_and(|&(next, _)| next <= cutoff)
        };
        while self.changes.len() > MAX_CHANGES || is_expired(&self.changes) {
            self.changes.pop_front();
        }
    }
}
