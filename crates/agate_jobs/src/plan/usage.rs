//! How much of a service's capacity is in use by runs that have started.

use agate_core::Resources;

use crate::plan::scheduler::Scheduler;

/// Processors and memory of the workers of a service that have not left, also of those that take no orders.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Usage {
    /// What is bound, as far as it counts against the capacity.
    bound: [u64; 2],
    /// The part of it that belongs to runs that have not started by the newest reports of their agents. Any other
    /// run may be at work.
    unstarted: [u64; 2],
    total: [u64; 2],
}

impl Usage {
    /// Returns whether under half of the capacity is in use. Runs that nobody has started use nothing yet.
    pub fn is_mostly_free(&self) -> bool {
        (0..2).all(|at| self.started(at) * 2 < self.total[at])
    }

    /// Returns the larger one of the percentages of processors and memory that started runs use.
    pub fn started_percent(&self) -> u64 {
        let percent = |at: usize| self.started(at) * 100 / self.total[at].max(1);
        percent(0).max(percent(1))
    }

    const fn started(&self, at: usize) -> u64 {
        self.bound[at].saturating_sub(self.unstarted[at])
    }

    /// Adds what a run that is bound now counts for.
    pub fn add_bound(&mut self, counted: Resources) {
        add(&mut self.bound, counted);
    }
}

impl Scheduler {
    /// Returns the usage of a service.
    pub(super) fn usage(&self, service: &str) -> Usage {
        let mut usage = Usage::default();
        let of_service = |worker: &usize| {
            let worker = &self.workers[*worker];
            worker.report.service == service && !worker.is_gone()
        };
        for slot in (0..self.workers.len()).filter(of_service) {
            add(&mut usage.bound, self.workers[slot].used);
            add(&mut usage.total, self.workers[slot].report.capacity);
        }
        for (task, binding) in &self.bindings {
            if of_service(&binding.worker) && self.is_reported_unstarted(*task, binding) {
                add(&mut usage.unstarted, binding.counted());
            }
        }
        usage
    }
}

fn add(sums: &mut [u64; 2], resources: Resources) {
    sums[0] += u64::from(resources.millicores);
    sums[1] += u64::from(resources.memory_mib);
}
