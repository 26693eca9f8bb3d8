//! Whether a task can run on any worker at all.
//!
//! A view that is half filled after a restart proves nothing, so a task is called impossible only
//! when the view has been filled and its largest worker the same for some time.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::{Moment, Resources};
use displaydoc::Display;

use crate::hash::KeyState;

/// Time for which the view must be filled and unchanged at its top before anything is impossible.
pub const SETTLE: Duration = Duration::from_secs(30);

/// How much an entry knows of its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewState {
    /// Workers are still announcing themselves.
    Filling,
    /// Every worker that is there is thought to be known.
    Filled,
}

/// A resource.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Dimension {
    /// processors
    Processors,
    /// memory
    Memory,
    /// accelerators
    Accelerators,
}

/// Why a task can't run on any worker.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// a task needs {needed}, and of its {dimension} even the closest worker ({largest}) has too little
    TooLarge {
        /// What a task needs.
        needed: Resources,
        /// What the worker that comes closest offers to one task.
        largest: Resources,
        /// What it lacks.
        dimension: Dimension,
    },
    /// a task ran out of memory with {given}, and no worker ({largest}) offers more
    Exhausted {
        /// What the run was given.
        given: Resources,
        /// What the largest worker offers to one task.
        largest: Resources,
    },
    /// a task needs {needed}, more than the whole quota of its team, which may not borrow
    OverQuota {
        /// What a task needs.
        needed: Resources,
    },
}

/// Whether a task can run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Verdict {
    /// Some worker is large enough.
    Possible,
    /// None is, but more may be announced.
    Unsettled,
    /// None is.
    Impossible(Reason),
}

/// Workers of one capacity.
#[derive(Debug, Clone, Copy)]
struct Shape {
    /// What batch work may hold of each.
    limit: Resources,
    count: u32,
}

/// The distinct sizes of the workers known.
#[derive(Debug)]
pub struct Shapes {
    by_capacity: HashMap<Resources, Shape, KeyState>,
    view: ViewState,
    changed: Moment,
}

impl Default for Shapes {
    fn default() -> Self {
        Self {
            by_capacity: HashMap::default(),
            view: ViewState::Filling,
            changed: Moment::ZERO,
        }
    }
}

impl Shapes {
    /// Adds a worker with `capacity`, of which batch work may hold `limit`.
    pub fn add(&mut self, now: Moment, capacity: Resources, limit: Resources) {
        let shape = self.by_capacity.entry(capacity);
        let shape = shape.or_insert(Shape { limit, count: 0 });
        shape.limit = limit;
        shape.count += 1;
        if shape.count == 1 {
            self.changed = now;
        }
    }

    /// Removes a worker with `capacity`.
    pub fn remove(&mut self, now: Moment, capacity: Resources) {
        let Some(shape) = self.by_capacity.get_mut(&capacity) else {
            return;
        };
        shape.count -= 1;
        if shape.count == 0 {
            self.by_capacity.remove(&capacity);
            self.changed = now;
        }
    }

    /// Sets how much is known.
    pub fn set_view(&mut self, now: Moment, view: ViewState) {
        if self.view != view {
            self.view = view;
            self.changed = now;
        }
    }

    /// Judges a task that needs `needed`.
    pub fn judge(&self, now: Moment, needed: Resources) -> Verdict {
        if self.by_capacity.keys().any(|&whole| needed.fits_in(whole)) {
            return Verdict::Possible;
        }
        match self.closest(needed) {
            Some((largest, _)) if self.is_settled(now) => Verdict::Impossible(Reason::TooLarge {
                needed,
                largest,
                dimension: lacking(needed, largest),
            }),
            _ => Verdict::Unsettled,
        }
    }

    /// Judges a task that is thought to need `learned` and declared to need `declared`. Either may be
    /// off, so one that fits is enough to try.
    pub fn judge_either(&self, now: Moment, learned: Resources, declared: Resources) -> Verdict {
        match self.judge(now, learned) {
            Verdict::Possible => Verdict::Possible,
            Verdict::Unsettled | Verdict::Impossible(_) => self.judge(now, declared),
        }
    }

    /// Judges a task that ran out of memory with `given`.
    pub fn judge_exhausted(&self, now: Moment, given: Resources) -> Verdict {
        let offers_more = |shape: &Shape| {
            let limit = shape.limit;
            limit.memory_mib > given.memory_mib && limit.accelerators >= given.accelerators
        };
        if self.by_capacity.values().any(offers_more) {
            return Verdict::Possible;
        }
        match self.closest(given) {
            Some((_, limit)) if self.is_settled(now) => Verdict::Impossible(Reason::Exhausted {
                given,
                largest: limit,
            }),
            _ => Verdict::Unsettled,
        }
    }

    /// `wanted`, cut to the limit of the worker that comes closest.
    pub fn clamp(&self, wanted: Resources) -> Resources {
        let fits = |shape: &Shape| wanted.fits_in(shape.limit);
        if self.by_capacity.values().any(fits) {
            return wanted;
        }
        let closest = self.closest(wanted);
        closest.map_or(wanted, |(_, limit)| crate::amount::min(wanted, limit))
    }

    pub(crate) fn is_settled(&self, now: Moment) -> bool {
        self.view == ViewState::Filled && now.since(self.changed) >= SETTLE
    }

    /// Capacity and limit of the worker size that `needed` exceeds least; of equals, the largest.
    fn closest(&self, needed: Resources) -> Option<(Resources, Resources)> {
        let excess = |whole: Resources| needed.dominant_share(whole);
        let size = |whole: Resources| (whole.memory_mib, whole.millicores, whole.accelerators);
        let order = |a: &&Resources, b: &&Resources| {
            excess(**a)
                .total_cmp(&excess(**b))
                .then_with(|| size(**b).cmp(&size(**a)))
        };
        let &capacity = self.by_capacity.keys().min_by(order)?;
        Some((capacity, self.by_capacity[&capacity].limit))
    }
}

fn lacking(needed: Resources, limit: Resources) -> Dimension {
    let excess = needed.saturating_sub(limit);
    if excess.accelerators > 0 {
        Dimension::Accelerators
    } else if excess.memory_mib > 0 {
        Dimension::Memory
    } else {
        Dimension::Processors
    }
}
