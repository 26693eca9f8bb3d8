//! Jobs that found no room, and room that is kept for them.

use std::time::Duration;

use agate_core::{Moment, Resources};
use rand::Rng;

use super::Scheduler;
use crate::queue::{Head, JobKey};
use crate::workers::WorkerKey;

/// Time after which a blocked job is tried again though no room came free.
const RETRY: Duration = Duration::from_secs(1);

/// Time for which a reservation lasts when its job doesn't come up.
const RESERVATION: Duration = Duration::from_secs(10);

/// Workers of which one may be reserved at a time.
const WORKERS_PER_RESERVATION: usize = 16;

/// Workers looked at for a reservation.
const RESERVATION_CANDIDATES: usize = 32;

/// A job that found no room.
#[derive(Debug, Clone, Copy)]
pub(super) struct Blocked {
    pub(super) job: JobKey,
    pub(super) demand: Resources,
}

/// A worker that takes no other work until a job's next task fits.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    pub(super) job: JobKey,
    pub(super) worker: WorkerKey,
    /// When it ends unless the job comes up before, as it does unless it is withdrawn or capped.
    until: Moment,
}

impl Scheduler {
    /// Puts a job aside that found no worker.
    pub(super) fn block(&mut self, now: Moment, job: JobKey, demand: Resources) {
        self.queue.block(job);
        self.blocked.push(Blocked { job, demand });
        self.wakes.insert((now + RETRY, job));
    }

    /// Puts a job aside that must wait for something other than a worker.
    pub(super) fn defer(&mut self, now: Moment, job: JobKey) {
        self.queue.defer(job);
        self.wakes.insert((now + RETRY, job));
    }

    /// Puts a job aside for which no worker has room, and after a long wait reserves a worker.
    pub(super) fn block_for_room(
        &mut self,
        now: Moment,
        head: &Head,
        demand: Resources,
        rng: &mut impl Rng,
    ) {
        self.block(now, head.key, demand);
        let since = self.waits.get(head.key).copied().unwrap_or(now);
        self.waits.insert(head.key, since);
        if now.since(since) >= self.policy.ageing() {
            self.reserve(now, head.key, demand, rng);
        }
    }

    pub(super) fn unblock(&mut self, job: JobKey) {
        self.blocked.retain(|blocked| blocked.job != job);
        self.queue.unblock(job);
    }

    pub(super) fn unblock_all(&mut self) {
        for (_, job) in std::mem::take(&mut self.wakes) {
            self.queue.unblock(job);
        }
        self.blocked.clear();
    }

    /// Lets jobs try again whose time has come, and ends reservations that nobody uses.
    pub(super) fn unblock_due(&mut self, now: Moment) {
        while let Some(&(at, job)) = self.wakes.first() {
            if at > now {
                break;
            }
            self.wakes.pop_first();
            self.unblock(job);
        }
        let expired = self.reservations.iter().find(|r| r.until <= now);
        if let Some(job) = expired.map(|r| r.job) {
            self.drop_reservation(job);
        }
    }

    /// Lets jobs try again that fit the room of a worker.
    pub(super) fn unblock_fitting(&mut self, worker: WorkerKey) {
        let Some(available) = self
            .workers
            .get(worker)
            .map(crate::workers::Worker::available)
        else {
            return;
        };
        let fits = |blocked: &Blocked| blocked.demand.fits_in(available);
        while let Some(place) = self.blocked.iter().position(fits) {
            let blocked = self.blocked.swap_remove(place);
            self.queue.unblock(blocked.job);
        }
    }

    /// The worker reserved for a job.
    pub(super) fn reservation(&self, job: JobKey) -> Option<WorkerKey> {
        let found = self.reservations.iter().find(|r| r.job == job);
        found.map(|reservation| reservation.worker)
    }

    pub(super) fn drop_reservation(&mut self, job: JobKey) {
        let Some(worker) = self.reservation(job) else {
            return;
        };
        self.reservations.retain(|r| r.job != job);
        self.refresh_admission(worker);
    }

    /// Keeps the emptiest of some workers that are large enough for a job that has waited too long.
    fn reserve(&mut self, now: Moment, job: JobKey, demand: Resources, rng: &mut impl Rng) {
        if let Some(reservation) = self.reservations.iter_mut().find(|r| r.job == job) {
            reservation.until = now + RESERVATION;
            return;
        }
        let most = 1 + self.workers.len() / WORKERS_PER_RESERVATION;
        if self.reservations.len() >= most {
            return;
        }
        let candidates = self.workers.sample_all(RESERVATION_CANDIDATES, rng);
        let is_usable = |key: &WorkerKey| {
            let worker = self.workers.get(*key);
            worker.is_some_and(|w| demand.fits_in(w.limit)) && self.is_open(*key)
        };
        let held = |key: &WorkerKey| {
            let worker = self.workers.get(*key);
            worker.map_or(u64::MAX, |w| u64::from(w.held.memory_mib))
        };
        let best = candidates.into_iter().filter(is_usable).min_by_key(held);
        let Some(worker) = best else {
            return;
        };
        self.reservations.push(Reservation {
            job,
            worker,
            until: now + RESERVATION,
        });
        self.refresh_admission(worker);
    }
}
