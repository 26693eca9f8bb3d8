//! Transitions of jobs between buckets, parked lists and the delayed list.

use agate_core::{Moment, TaskId};

use super::job::JobState;
use super::{Head, JobKey, Queue, withdrawals};
use crate::{ClassKey, TeamKey};

/// Maximum number of jobs that one peek returns from resumed tags.
const RESUMED_PER_PEEK: usize = 32;

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
            queued_at: job.queued_at,
            taken: job.taken.len(),
        })
    }

    /// Returns delayed tasks that are due, and some jobs of resumed tags, to their buckets.
    pub(super) fn requeue_due(&mut self, now: Moment) {
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
        for _ in 0..RESUMED_PER_PEEK {
            let Some(key) = self.tags.next_resumed() else {
                break;
            };
            if let Some(job) = self.jobs.get_mut(key) {
                job.state = JobState::Idle;
                self.enqueue(key);
            }
        }
    }

    /// Adds an idle job with ready tasks to its bucket.
    pub(super) fn enqueue(&mut self, key: JobKey) {
        let job = &mut self.jobs[key];
        if job.state != JobState::Idle || job.ready.is_empty() {
            return;
        }
        job.state = JobState::Queued;
        let (team, class) = (job.team, job.class);
        let bucket = self.buckets.entry((team, class)).or_default();
        bucket.insert(job.queued_at, job.sequence, key);
        self.reorder(team, class);
    }

    /// Removes a queued job from its bucket.
    pub(super) fn dequeue(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.state != JobState::Queued {
            return;
        }
        job.state = JobState::Idle;
        let (team, class) = (job.team, job.class);
        if let Some(bucket) = self.buckets.get_mut(&(team, class)) {
            bucket.remove(job.queued_at, job.sequence, key);
        }
        self.reorder(team, class);
    }

    /// Moves a job out of its bucket into `state`.
    pub(super) fn set_state(&mut self, key: JobKey, state: JobState) {
        self.dequeue(key);
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        let (team, class) = (job.team, job.class);
        let old = std::mem::replace(&mut job.state, state);
        let bucket = self.buckets.entry((team, class)).or_default();
        match (old == JobState::Blocked, state == JobState::Blocked) {
            (true, false) => bucket.unblock(),
            (false, true) => bucket.block(),
            _ => return,
        }
        self.reorder(team, class);
    }

    pub(super) fn park_job(&mut self, key: JobKey, tag: withdrawals::TagKey) {
        self.set_state(key, JobState::Parked);
        self.tags.park(tag, key);
    }

    pub(super) fn park_bucket(&mut self, team: TeamKey, class: ClassKey) {
        self.withdrawn.entry(class).or_default().push(team);
        let Some(bucket) = self.buckets.get_mut(&(team, class)) else {
            return;
        };
        let from = bucket.listed_rank.take();
        self.teams.reorder(team, class, from, None);
    }

    /// Updates the position of a bucket in its team.
    pub(super) fn reorder(&mut self, team: TeamKey, class: ClassKey) {
        let Some(bucket) = self.buckets.get_mut(&(team, class)) else {
            return;
        };
        let parked = self.withdrawn.get(&class);
        if parked.is_some_and(|teams| teams.contains(&team)) {
            return;
        }
        let to = bucket.waiting_since();
        if bucket.listed_rank != to {
            let from = std::mem::replace(&mut bucket.listed_rank, to);
            self.teams.reorder(team, class, from, to);
        }
    }
}
