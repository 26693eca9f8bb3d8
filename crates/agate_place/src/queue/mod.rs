//! Orders the waiting tasks.
//!
//! Jobs wait in one bucket per team and class. Teams are ordered by weighted dominant share with
//! ageing, the buckets of a team by the time since they were last served, and the jobs of a bucket
//! by age. Pushing, taking, requeueing, canceling, withdrawing and resuming take at most
//! logarithmic time in the number of jobs, and don't depend on the number of tasks.

mod bucket;
mod job;
mod moves;
mod quota;
mod range_set;
mod spec;
mod teams;
mod withdraw;
mod withdrawals;

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;
use std::time::Duration;

use agate_core::{ClassName, JobId, Moment, TaskId, TeamName};
use agate_preset::TeamQuota;
use slotmap::SlotMap;

pub use job::JobKey;
pub use range_set::RangeSet;
pub use spec::{Head, JobSpec, Peek};

use crate::hash::KeyHashBuilder;
use crate::interner::Interner;
use crate::{ClassKey, TeamKey};
use bucket::Bucket;
use job::{JobState, QueuedJob};
use teams::Teams;
use withdrawals::Withdrawals;

/// Maximum number of jobs and buckets parked by one [`Queue::peek`].
const PARKED_PER_PEEK: usize = 256;

/// The queue of waiting tasks.
#[derive(Debug)]
pub struct Queue {
    classes: Interner<ClassName, ClassKey>,
    teams: Teams,
    buckets: HashMap<(TeamKey, ClassKey), Bucket, KeyHashBuilder>,
    /// Withdrawn classes, with the teams whose buckets are parked.
    withdrawn: BTreeMap<ClassKey, Vec<TeamKey>>,
    tags: Withdrawals,
    jobs: SlotMap<JobKey, QueuedJob>,
    by_id: HashMap<JobId, JobKey, KeyHashBuilder>,
    delayed: BTreeSet<(Moment, JobKey, u32)>,
    sequence: u64,
}

impl Queue {
    /// Creates an empty queue.
    pub fn new(quotas: BTreeMap<TeamName, TeamQuota>, ageing: Duration) -> Self {
        Self {
            classes: Interner::default(),
            teams: Teams::new(quotas, ageing),
            buckets: HashMap::default(),
            withdrawn: BTreeMap::new(),
            tags: Withdrawals::default(),
            jobs: SlotMap::with_key(),
            by_id: HashMap::default(),
            delayed: BTreeSet::new(),
            sequence: 0,
        }
    }

    /// Returns the key of a class.
    pub fn class(&mut self, name: &ClassName) -> ClassKey {
        self.classes.intern(name)
    }

    /// Returns the key of a team.
    pub fn team(&mut self, name: &TeamName) -> TeamKey {
        self.teams.intern(name)
    }

    /// Returns the key of a queued job.
    pub fn job(&self, id: JobId) -> Option<JobKey> {
        self.by_id.get(&id).copied()
    }

    /// Returns the ID of a queued job.
    pub fn id(&self, key: JobKey) -> Option<JobId> {
        self.jobs.get(key).map(|job| job.id)
    }

    /// Returns the number of waiting tasks, whether ready, delayed, parked or blocked.
    pub fn waiting_count(&self, key: JobKey) -> u64 {
        let Some(job) = self.jobs.get(key) else {
            return 0;
        };
        job.ready.len() + job.delayed.len()
    }

    /// Whether every task of `tasks` is waiting or taken.
    pub fn contains_all(&self, key: JobKey, tasks: &Range<u32>) -> bool {
        self.jobs
            .get(key)
            .is_some_and(|job| job.contains_all(tasks))
    }

    /// Returns the number of jobs with waiting or running tasks.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether the queue has no jobs.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Adds a job. Does nothing if the job is already queued.
    pub fn push(&mut self, now: Moment, spec: &JobSpec) -> JobKey {
        if let Some(key) = self.job(spec.id) {
            return key;
        }
        let mut ready = RangeSet::default();
        for range in &spec.tasks {
            ready.insert(range.clone());
        }
        self.sequence += 1;
        let job = QueuedJob {
            id: spec.id,
            team: self.teams.intern(&spec.team),
            class: self.classes.intern(&spec.class),
            tags: spec.tags.iter().map(|tag| self.tags.add_job(tag)).collect(),
            declared: spec.declared,
            queued_at: now,
            sequence: self.sequence,
            ready,
            delayed: RangeSet::default(),
            taken: RangeSet::default(),
            state: JobState::Idle,
        };
        let key = self.jobs.insert(job);
        self.by_id.insert(spec.id, key);
        self.enqueue(key);
        key
    }

    /// Removes a job with all its tasks. Returns whether it was queued.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(key) = self.by_id.remove(&id) else {
            return false;
        };
        self.set_state(key, JobState::Idle);
        if let Some(job) = self.jobs.remove(key) {
            for tag in job.tags {
                self.tags.remove_job(tag);
            }
        }
        true
    }

    /// Returns the job with the next task, without taking the task.
    pub fn peek(&mut self, now: Moment) -> Peek {
        self.requeue_due(now);
        for _ in 0..PARKED_PER_PEEK {
            let Some((team, class)) = self.teams.first() else {
                return Peek::Empty;
            };
            if self.withdrawn.contains_key(&class) {
                self.park_bucket(team, class);
                continue;
            }
            let head = self.buckets.get(&(team, class)).and_then(Bucket::head);
            let Some(key) = head else {
                self.reorder(team, class);
                continue;
            };
            match self.tags.first_withdrawn(&self.jobs[key].tags) {
                Some(tag) => self.park_job(key, tag),
                None => return self.head(key).map_or(Peek::Empty, Peek::Ready),
            }
        }
        Peek::Retry
    }

    /// Takes the next task of a job.
    pub fn take(&mut self, now: Moment, key: JobKey) -> Option<TaskId> {
        let job = self.jobs.get_mut(key)?;
        let index = job.ready.pop_first()?;
        job.taken.insert(index..index + 1);
        let (id, team, class) = (job.id, job.team, job.class);
        let is_drained = job.ready.is_empty();
        if let Some(bucket) = self.buckets.get_mut(&(team, class)) {
            bucket.mark_served(now);
        }
        if is_drained {
            self.dequeue(key);
        }
        self.reorder(team, class);
        Some(TaskId { job: id, index })
    }

    /// Takes a specific task, whatever its state. Returns whether it was waiting.
    pub fn claim(&mut self, key: JobKey, index: u32) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        let waited = job.ready.remove(index) | job.delayed.remove(index);
        job.taken.insert(index..index + 1);
        if job.ready.is_empty() && job.state == JobState::Queued {
            self.dequeue(key);
        }
        waited
    }

    /// Makes a taken task ready again. Returns whether it was taken.
    pub fn requeue(&mut self, key: JobKey, index: u32) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        if !job.taken.remove(index) {
            return false;
        }
        job.ready.insert(index..index + 1);
        self.enqueue(key);
        true
    }

    /// Makes a taken task ready again at a later time. Returns whether it was taken.
    pub fn requeue_at(&mut self, key: JobKey, index: u32, at: Moment) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        if !job.taken.remove(index) {
            return false;
        }
        job.delayed.insert(index..index + 1);
        self.delayed.insert((at, key, index));
        true
    }

    /// Removes a taken task, and its job if no other tasks are left.
    pub fn finish(&mut self, key: JobKey, index: u32) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.taken.remove(index);
        if job.is_done() {
            let id = job.id;
            self.cancel(id);
        }
    }

    /// Holds the job at the head back until [`Self::unblock`], because no worker has enough
    /// capacity. If many jobs of one team and class are blocked, the jobs behind them wait too, fewer
    /// each time that the same number is blocked.
    pub fn block(&mut self, key: JobKey) {
        self.set_state(key, JobState::Blocked);
    }

    /// Holds the job at the head back until [`Self::unblock`], for a reason other than capacity.
    pub fn defer(&mut self, key: JobKey) {
        self.set_state(key, JobState::Deferred);
    }

    /// Returns a blocked or deferred job to its bucket.
    pub fn unblock(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if matches!(job.state, JobState::Blocked | JobState::Deferred) {
            self.set_state(key, JobState::Idle);
            self.enqueue(key);
        }
    }

    /// Whether a job is withdrawn by its class or a tag.
    pub fn is_withdrawn(&self, key: JobKey) -> bool {
        self.jobs.get(key).is_some_and(|job| {
            self.withdrawn.contains_key(&job.class)
                || self.tags.first_withdrawn(&job.tags).is_some()
        })
    }

    /// Returns when the next delayed task becomes ready.
    pub fn next_wake(&self) -> Option<Moment> {
        self.delayed.first().map(|&(at, _, _)| at)
    }
}
