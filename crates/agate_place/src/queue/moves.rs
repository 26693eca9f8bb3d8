//! Moves of jobs between buckets, parking places and the delayed list.

use agate_core::{Moment, TaskId};

use super::job::Standing;
use super::{Head, JobKey, Queue, withdrawals};
use crate::{ClassKey, TeamKey};

/// Jobs that go back from a resumed tag at each look at the queue.
const RETURNS_PER_LOOK: usize = 32;

impl Queue {
    pub(super) fn head(&self, key: JobKey) -> Option<Head> {
        let job = &self.jobs[key];
        let index = job.ready.first()?;
        Some(Head {
            key,
            task: TaskId { job: job.id, index },
            team: job.team,
            class: job.class,
            declared: job.declared,
            since: job.since,
            taken: job.taken.len(),
        })
    }

    /// Brings back what is due: delayed tasks, and some jobs of resumed tags.
    pub(super) fn bring_back(&mut self, now: Moment) {
        while let Some(&(at, key, index)) = self.delayed.first() {
            if at > now {
                break;
            }
            self.delayed.pop_first();
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.delayed.remove(index) {
                job.ready.insert(index..index + 1);
                self.enqueue(key);
            }
        }
        for _ in 0..RETURNS_PER_LOOK {
            let Some(key) = self.tags.next_returning() else {
                break;
            };
            if let Some(job) = self.jobs.get_mut(key) {
                job.standing = Standing::Idle;
                self.enqueue(key);
            }
        }
    }

    /// Puts an idle job with ready tasks into its bucket.
    pub(super) fn enqueue(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.standing != Standing::Idle || job.ready.is_empty() {
            return;
        }
        job.standing = Standing::Queued;
        let (team, class) = (job.team, job.class);
        let bucket = self.buckets.entry((team, class)).or_default();
        bucket.insert(job.since, job.sequence, key);
        self.relist(team, class);
    }

    /// Takes a queued job out of its bucket.
    pub(super) fn dequeue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.standing != Standing::Queued {
            return;
        }
        job.standing = Standing::Idle;
        let (team, class) = (job.team, job.class);
        if let Some(bucket) = self.buckets.get_mut(&(team, class)) {
            bucket.remove(job.since, job.sequence, key);
        }
        self.relist(team, class);
    }

    /// Takes a job from where it stands to a place outside its bucket.
    pub(super) fn set_standing(&mut self, key: JobKey, standing: Standing) {
        self.dequeue(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let (team, class) = (job.team, job.class);
        let old = std::mem::replace(&mut job.standing, standing);
        let bucket = self.buckets.entry((team, class)).or_default();
        match (old == Standing::Blocked, standing == Standing::Blocked) {
            (true, false) => bucket.unblock(),
            (false, true) => bucket.block(),
            _ => return,
        }
        self.relist(team, class);
    }

    pub(super) fn park_job(&mut self, key: JobKey, tag: withdrawals::TagKey) {
        self.set_standing(key, Standing::Parked);
        self.tags.park(tag, key);
    }

    pub(super) fn park_bucket(&mut self, team: TeamKey, class: ClassKey) {
        self.withdrawn.entry(class).or_default().push(team);
        let Some(bucket) = self.buckets.get_mut(&(team, class)) else {
            return;
        };
        let from = bucket.listed.take();
        self.teams.relist(team, class, from, None);
    }

    /// Brings a bucket's place in its team's list up to date.
    pub(super) fn relist(&mut self, team: TeamKey, class: ClassKey) {
        let Some(bucket) = self.buckets.get_mut(&(team, class)) else {
            return;
        };
        let parked = self.withdrawn.get(&class);
        if parked.is_some_and(|teams| teams.contains(&team)) {
            return;
        }
        let to = bucket.waits_since();
        if bucket.listed != to {
            let from = std::mem::replace(&mut bucket.listed, to);
            self.teams.relist(team, class, from, to);
        }
    }
}
