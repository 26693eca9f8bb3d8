//! Whether a task can run on any worker at all.
//!
//! A view that is half filled after a restart proves nothing, so a task is called impossible only
//! when the view has been filled and its largest worker the same for some time.

use std::collections::HashMap;
use std::time::Duration;

use agate_core::{Moment, Resources};
use displaydoc::Display;

use crate::hash::KeyHashBuilder;

/// Time for which the view must be filled and unchanged at its top before anything is impossible.
pub const SETTLE_TIME: Duration = Duration::from_secs(30);

/// How much an entry knows of its workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewState {
    /// Workers are still announcing themselves.
    Incomplete,
    /// Every worker that is there is thought to be known.
    Complete,
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
pub enum Feasibility {
    /// Some worker is large enough.
    Possible,
    /// None is, but more may be announced.
    Undecided,
    /// None is.
    Impossible(Reason),
}

/// Workers of one capacity.
#[derive(Debug, Clone, Copy)]
struct WorkerSize {
    /// What batch work may hold of each.
    limit: Resources,
    count: u32,
}

/// The distinct sizes of the workers known.
#[derive(Debug)]
pub struct WorkerSizes {
    by_capacity: HashMap<Resources, WorkerSize, KeyHashBuilder>,
    view: ViewState,
    changed: Moment,
}

impl Default for WorkerSizes {
    fn default() -> Self {
        Self {
            by_capacity: HashMap::default(),
            view: ViewState::Incomplete,
            changed: Moment::ZERO,
        }
    }
}

impl WorkerSizes {
    /// Adds a worker with `capacity`, of which batch work may hold `limit`.
    pub fn add(&mut self, now: Moment, capacity: Resources, limit: Resources) {
        let worker_size = self.by_capacity.entry(capacity);
        let worker_size = worker_size.or_insert(WorkerSize { limit, count: 0 });
        worker_size.limit = limit;
        worker_size.count += 1;
        if worker_size.count == 1 {
            self.changed = now;
        }
    }

    /// Removes a worker with `capacity`.
    pub fn remove(&mut self, now: Moment, capacity: Resources) {
        let Some(worker_size) = self.by_capacity.get_mut(&capacity) else {
            return;
        };
        worker_size.count -= 1;
        if worker_size.count == 0 {
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
    pub fn check(&self, now: Moment, needed: Resources) -> Feasibility {
        if self.by_capacity.keys().any(|&whole| needed.fits_in(whole)) {
            return Feasibility::Possible;
        }
        match self.closest(needed) {
            Some((largest, _)) if self.is_stable(now) => {
                Feasibility::Impossible(Reason::TooLarge {
                    needed,
                    largest,
                    dimension: lacking(needed, largest),
                })
            }
            _ => Feasibility::Undecided,
        }
    }

    /// Judges a task that is thought to need `learned` and declared to need `declared`. Either may be
    /// off, so one that fits is enough to try.
    pub fn check_either(
        &self,
        now: Moment,
        learned: Resources,
        declared: Resources,
    ) -> Feasibility {
        match self.check(now, learned) {
            Feasibility::Possible => Feasibility::Possible,
            Feasibility::Undecided | Feasibility::Impossible(_) => self.check(now, declared),
        }
    }

    /// Judges a task that ran out of memory with `given`.
    pub fn check_after_oom(&self, now: Moment, given: Resources) -> Feasibility {
        let offers_more = |worker_size: &WorkerSize| {
            let limit = worker_size.limit;
            limit.memory_mib > given.memory_mib && limit.accelerators >= given.accelerators
        };
        if self.by_capacity.values().any(offers_more) {
            return Feasibility::Possible;
        }
        match self.closest(given) {
            Some((_, limit)) if self.is_stable(now) => Feasibility::Impossible(Reason::Exhausted {
                given,
                largest: limit,
            }),
            _ => Feasibility::Undecided,
        }
    }

    /// `wanted`, cut to the limit of the worker that comes closest.
    pub fn clamp(&self, wanted: Resources) -> Resources {
        let fits = |worker_size: &WorkerSize| wanted.fits_in(worker_size.limit);
        if self.by_capacity.values().any(fits) {
            return wanted;
        }
        let closest = self.closest(wanted);
        closest.map_or(wanted, |(_, limit)| crate::amount::min(wanted, limit))
    }

    pub(crate) fn is_stable(&self, now: Moment) -> bool {
        self.view == ViewState::Complete && now.since(self.changed) >= SETTLE_TIME
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
