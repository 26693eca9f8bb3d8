//! Jobs that no worker has capacity for, and reservations for them.

use std::time::Duration;

use agate_core::{Moment, Resources};
use rand::Rng;

use super::Scheduler;
use super::holds::Held;
use crate::TeamKey;
use crate::queue::{Head, JobKey};
use crate::workers::WorkerKey;

/// Interval after which a blocked job is retried even if no capacity was freed.
const RETRY_INTERVAL: Duration = Duration::from_secs(1);

/// Interval after which a job over its team's quota is retried though no run of the team has ended. Until then only
/// the beginning of a hold can matter to it, and a backlog behind a full quota has many such jobs.
const QUOTA_RETRY_INTERVAL: Duration = Duration::from_secs(10);

/// Lifetime of a reservation whose job doesn't reach the head of the queue.
const RESERVATION_TTL: Duration = Duration::from_secs(10);

/// Number of workers per allowed reservation.
const WORKERS_PER_RESERVATION: usize = 16;

/// Number of workers per reservation below which reservations hold others back for a limited time only.
const MIN_WORKERS_PER_RESERVATION: usize = 4;

/// Number of workers sampled for a reservation.
const RESERVATION_CANDIDATES: usize = 32;

/// A job that no worker has capacity for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Blocked {
    pub(super) job: JobKey,
    pub(super) demand: Resources,
}

/// A job that exceeds what its team has left of its quota.
#[derive(Debug, Clone, Copy)]
pub(super) struct OverQuota {
    job: JobKey,
    demand: Resources,
    /// When the job is retried in any case. It may be retried earlier.
    retry_at: Moment,
}

/// A worker that takes no other work until the next task of a job fits.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reservation {
    pub(super) job: JobKey,
    pub(super) worker: WorkerKey,
    /// When the reservation expires. Reaching the head of the queue extends it, up to the end of a hold, which
    /// happens regularly unless the job is withdrawn or its team is capped.
    until: Moment,
}

impl Scheduler {
    /// Blocks a job for which no worker was found.
    pub(super) fn block(&mut self, now: Moment, job: JobKey, demand: Resources) {
        self.queue.block(job);
        self.blocked.push(Blocked { job, demand });
        self.retry_times.insert((now + RETRY_INTERVAL, job));
    }

    /// Blocks a job that exceeds what its team has left of its quota, so that smaller ones pass it.
    pub(super) fn block_for_quota(&mut self, now: Moment, head: &Head, demand: Resources) {
        self.queue.block(head.key);
        let retry_at = now + QUOTA_RETRY_INTERVAL;
        let waiting = self.over_quota.entry(head.team).or_default();
        // Retried jobs aren't looked for one by one: a backlog behind a full quota has many.
        while waiting.front().is_some_and(|over| over.retry_at <= now) {
            waiting.pop_front();
        }
        waiting.push_back(OverQuota {
            job: head.key,
            demand,
            retry_at,
        });
        self.retry_times.insert((retry_at, head.key));
    }

    /// Defers a job that waits for something other than a worker.
    pub(super) fn defer(&mut self, now: Moment, job: JobKey) {
        self.queue.defer(job);
        self.retry_times.insert((now + RETRY_INTERVAL, job));
    }

    /// Blocks a job that no worker has capacity for. Reserves a worker if it has waited too long.
    pub(super) fn block_for_capacity(
        &mut self,
        now: Moment,
        head: &Head,
        demand: Resources,
        rng: &mut impl Rng,
    ) {
        self.block(now, head.key, demand);
        let since = self.waiting_since.get(head.key).copied().unwrap_or(now);
        self.waiting_since.insert(head.key, since);
        if now.since(since) >= self.policy.ageing() {
            self.reserve(now, head.key, demand, rng);
        }
    }

    pub(super) fn unblock(&mut self, job: JobKey) {
        self.blocked.retain(|blocked| blocked.job != job);
        self.queue.unblock(job);
    }

    pub(super) fn unblock_all(&mut self) {
        for (_, job) in std::mem::take(&mut self.retry_times) {
            self.queue.unblock(job);
        }
        self.blocked.clear();
        self.over_quota.clear();
    }

    /// Unblocks jobs that fit into what a team has left of its quota, as far as it has enough for all of them.
    pub(super) fn unblock_within_quota(&mut self, team: TeamKey) {
        let Some(waiting) = self.over_quota.get_mut(&team) else {
            return;
        };
        let mut taken = Resources::ZERO;
        waiting.retain(|over| {
            let fits = !self.queue.exceeds_quota(team, taken + over.demand);
            if fits {
                taken += over.demand;
                self.queue.unblock(over.job);
            }
            !fits
        });
    }

    /// Unblocks jobs whose retry time has come and teams that are held back no longer, and drops an expired
    /// reservation.
    pub(super) fn unblock_due(&mut self, now: Moment) {
        while let Some(&(at, job)) = self.retry_times.first() {
            if at > now {
                break;
            }
            self.retry_times.pop_first();
            self.unblock(job);
        }
        while let Some(&(at, team)) = self.cap_times.first() {
            if at > now {
                break;
            }
            self.cap_times.pop_first();
            self.queue.uncap(team);
        }
        let expired = self.reservations.iter().find(|r| r.until <= now);
        if let Some(job) = expired.map(|r| r.job) {
            self.drop_reservation(job);
        }
    }

    /// Unblocks jobs that fit the available capacity of a worker.
    pub(super) fn unblock_fitting(&mut self, worker: WorkerKey) {
        let Some(available) = self
            .workers
            .get(worker)
            .map(crate::workers::Worker::available)
        else {
            return;
        };
        let fits = |blocked: &Blocked| blocked.demand.fits_in(available);
        while let Some(index) = self.blocked.iter().position(fits) {
            let blocked = self.blocked.swap_remove(index);
            self.queue.unblock(blocked.job);
        }
    }

    /// Returns the worker reserved for a job.
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

    /// Returns until when a worker may be reserved for a job, or `None` while others pass it. Reservations that
    /// take few of the workers hold nobody back.
    fn reservation_until(&mut self, now: Moment, job: JobKey) -> Option<Moment> {
        let renewed = now + RESERVATION_TTL;
        if self.max_reservations() * MIN_WORKERS_PER_RESERVATION <= self.workers.len() {
            return Some(renewed);
        }
        let until = self.hold_until(now, Held::Worker, job)?;
        Some(until.min(renewed))
    }

    fn max_reservations(&self) -> usize {
        1 + self.workers.len() / WORKERS_PER_RESERVATION
    }

    /// Reserves the worker with the least allocated memory, among sampled workers that are large
    /// enough.
    fn reserve(&mut self, now: Moment, job: JobKey, demand: Resources, rng: &mut impl Rng) {
        let Some(until) = self.reservation_until(now, job) else {
            self.drop_reservation(job);
            return;
        };
        if let Some(reservation) = self.reservations.iter_mut().find(|r| r.job == job) {
            reservation.until = until;
            return;
        }
        if self.reservations.len() >= self.max_reservations() {
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
        self.reservations.push(Reservation { job, worker, until });
        self.refresh_admission(worker);
    }
}
