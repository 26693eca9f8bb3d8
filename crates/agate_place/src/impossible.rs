//! Detection of tasks that no worker can run.
//!
//! The list of workers is incomplete after a restart. A task is therefore called impossible only
//! after the list has been complete and the set of worker sizes unchanged for [`SETTLE_TIME`].

use std::collections::HashMap;
use std::time::Duration;

use agate_core::{Moment, Resources};
use displaydoc::Display;

use crate::hash::KeyHashBuilder;

/// Time for which the worker list must be complete and the worker sizes unchanged before a task is
/// called impossible.
pub const SETTLE_TIME: Duration = Duration::from_secs(30);

/// Whether an entry knows all workers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ViewState {
    /// Workers are still announcing themselves.
    Incomplete,
    /// All present workers are assumed to be known.
    Complete,
}

/// A resource dimension.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Dimension {
    /// processors
    Processors,
    /// memory
    Memory,
    /// accelerators
    Accelerators,
}

/// Why no worker can run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum Reason {
    /// a task needs {needed}, and of its {dimension} even the closest worker ({largest}) has too little
    TooLarge {
        /// What the task needs.
        needed: Resources,
        /// Capacity of the worker that comes closest.
        largest: Resources,
        /// The dimension that is too small.
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
        /// What the task needs.
        needed: Resources,
    },
}

/// Whether any worker can run a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Feasibility {
    /// At least one worker is large enough.
    Possible,
    /// No known worker is large enough, but others may still announce themselves.
    Undecided,
    /// No worker is large enough.
    Impossible(Reason),
}

/// Workers with the same capacity.
#[derive(Debug, Clone, Copy)]
struct WorkerSize {
    /// The part of each worker's capacity that batch work may use.
    limit: Resources,
    count: u32,
}

/// The distinct capacities of the known workers.
#[derive(Debug)]
pub struct WorkerSizes {
    by_capacity: HashMap<Resources, WorkerSize, KeyHashBuilder>,
    view: ViewState,
    changed_at: Moment,
}

impl Default for WorkerSizes {
    fn default() -> Self {
        Self {
            by_capacity: HashMap::default(),
            view: ViewState::Incomplete,
            changed_at: Moment::ZERO,
        }
    }
}

impl WorkerSizes {
    /// Adds a worker with `capacity`, of which batch work may use `limit`.
    pub fn add(&mut self, now: Moment, capacity: Resources, limit: Resources) {
        let worker_size = self.by_capacity.entry(capacity);
        let worker_size = worker_size.or_insert(WorkerSize { limit, count: 0 });
        worker_size.limit = limit;
        worker_size.count += 1;
        if worker_size.count == 1 {
            self.changed_at = now;
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
            self.changed_at = now;
        }
    }

    /// Sets whether all workers are known.
    pub fn set_view(&mut self, now: Moment, view: ViewState) {
        if self.view != view {
            self.view = view;
            self.changed_at = now;
        }
    }

    /// Checks whether any worker can run a task that needs `needed`.
    pub fn check(&self, now: Moment, needed: Resources) -> Feasibility {
        if self.by_capacity.keys().any(|&whole| needed.fits_in(whole)) {
            return Feasibility::Possible;
        }
        match self.closest(needed) {
            Some((largest, _)) if self.is_stable(now) => {
                Feasibility::Impossible(Reason::TooLarge {
                    needed,
                    largest,
                    dimension: missing_dimension(needed, largest),
                })
            }
            _ => Feasibility::Undecided,
        }
    }

    /// Checks a task by its learned and its declared size. Either may be wrong, so the task is
    /// possible if one of them fits.
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

    /// Checks whether any worker offers more memory to a task that ran out of it with `given`.
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

    /// Returns the number of workers that are large enough for `needed`.
    pub fn count_for(&self, needed: Resources) -> usize {
        let sizes = self.by_capacity.values();
        let large = sizes.filter(|size| needed.fits_in(size.limit));
        large.map(|size| size.count as usize).sum()
    }

    /// Caps `wanted` at the limit of the worker that comes closest.
    pub fn clamp(&self, wanted: Resources) -> Resources {
        let fits = |worker_size: &WorkerSize| wanted.fits_in(worker_size.limit);
        if self.by_capacity.values().any(fits) {
            return wanted;
        }
        let closest = self.closest(wanted);
        closest.map_or(wanted, |(_, limit)| crate::amount::min(wanted, limit))
    }

    pub(crate) fn is_stable(&self, now: Moment) -> bool {
        self.view == ViewState::Complete && now.since(self.changed_at) >= SETTLE_TIME
    }

    /// Returns capacity and limit of the worker size that `needed` exceeds least; on a tie, of the
    /// largest.
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

fn missing_dimension(needed: Resources, limit: Resources) -> Dimension {
    let excess = needed.saturating_sub(limit);
    if excess.accelerators > 0 {
        Dimension::Accelerators
    } else if excess.memory_mib > 0 {
        Dimension::Memory
    } else {
        Dimension::Processors
    }
}
