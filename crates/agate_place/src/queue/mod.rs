//! Which task runs next.
//!
//! Jobs wait in a bucket per team and class. Teams are ordered by weighted dominant share with
//! ageing, the buckets of a team by the time since they were last served, and the jobs of a bucket by
//! age. Push, take, put back, cancel, withdraw and resume cost at most the logarithm of the number of
//! jobs, and none depends on the number of tasks.

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
use crate::names::Names;
use crate::{ClassKey, TeamKey};
use bucket::Bucket;
use job::{QueuedJob, Standing};
use teams::Teams;
use withdrawals::Withdrawals;

/// Jobs and buckets parked at one look at the queue before it gives up for now.
const PARKS_PER_LOOK: usize = 256;

/// The tasks that wait.
#[derive(Debug)]
pub struct Queue {
    classes: Names<ClassName, ClassKey>,
    teams: Teams,
    buckets: HashMap<(TeamKey, ClassKey), Bucket, KeyHashBuilder>,
    /// Withdrawn classes with the teams whose buckets were put aside.
    withdrawn: BTreeMap<ClassKey, Vec<TeamKey>>,
    tags: Withdrawals,
    jobs: SlotMap<JobKey, QueuedJob>,
    by_id: HashMap<JobId, JobKey, KeyHashBuilder>,
    delayed: BTreeSet<(Moment, JobKey, u32)>,
    sequence: u64,
}

impl Queue {
    /// Starts an empty queue.
    pub fn new(quotas: BTreeMap<TeamName, TeamQuota>, ageing: Duration) -> Self {
        Self {
            classes: Names::default(),
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

    /// The key of a class.
    pub fn class(&mut self, name: &ClassName) -> ClassKey {
        self.classes.intern(name)
    }

    /// The key of a team.
    pub fn team(&mut self, name: &TeamName) -> TeamKey {
        self.teams.intern(name)
    }

    /// The key of a job that has tasks here.
    pub fn job(&self, id: JobId) -> Option<JobKey> {
        self.by_id.get(&id).copied()
    }

    /// The job with `key`.
    pub fn id(&self, key: JobKey) -> Option<JobId> {
        self.jobs.get(key).map(|job| job.id)
    }

    /// Tasks that wait, whether ready, delayed, parked or blocked.
    pub fn waiting_count(&self, key: JobKey) -> u64 {
        let Some(job) = self.jobs.get(key) else {
            return 0;
        };
        job.ready.len() + job.delayed.len()
    }

    /// Whether every task of `tasks` waits or was taken.
    pub fn contains_all(&self, key: JobKey, tasks: &Range<u32>) -> bool {
        self.jobs
            .get(key)
            .is_some_and(|job| job.contains_all(tasks))
    }

    /// Number of jobs with tasks that wait or run.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Whether there is no job.
    pub fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Adds a job. A job that is known already is left as it is.
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
            tags: spec.tags.iter().map(|tag| self.tags.bear(tag)).collect(),
            declared: spec.declared,
            since: now,
            sequence: self.sequence,
            ready,
            delayed: RangeSet::default(),
            taken: RangeSet::default(),
            standing: Standing::Idle,
        };
        let key = self.jobs.insert(job);
        self.by_id.insert(spec.id, key);
        self.enqueue(key);
        key
    }

    /// Removes a job with all its tasks. Returns whether it was known.
    pub fn cancel(&mut self, id: JobId) -> bool {
        let Some(key) = self.by_id.remove(&id) else {
            return false;
        };
        self.set_standing(key, Standing::Idle);
        if let Some(job) = self.jobs.remove(key) {
            for tag in job.tags {
                self.tags.unbear(tag);
            }
        }
        true
    }

    /// Finds the job whose task is next, without taking it.
    pub fn peek(&mut self, now: Moment) -> Peek {
        self.bring_back(now);
        for _ in 0..PARKS_PER_LOOK {
            let Some((team, class)) = self.teams.first() else {
                return Peek::Empty;
            };
            if self.withdrawn.contains_key(&class) {
                self.park_bucket(team, class);
                continue;
            }
            let head = self.buckets.get(&(team, class)).and_then(Bucket::head);
            let Some(key) = head else {
                self.relist(team, class);
                continue;
            };
            match self.tags.withdrawn(&self.jobs[key].tags) {
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
            bucket.serve(now);
        }
        if is_drained {
            self.dequeue(key);
        }
        self.relist(team, class);
        Some(TaskId { job: id, index })
    }

    /// Takes one named task, wherever it waits. Returns whether it waited.
    pub fn claim(&mut self, key: JobKey, index: u32) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        let waited = job.ready.remove(index) | job.delayed.remove(index);
        job.taken.insert(index..index + 1);
        if job.ready.is_empty() && job.standing == Standing::Queued {
            self.dequeue(key);
        }
        waited
    }

    /// Gives a taken task back. Returns whether it had been taken.
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

    /// Gives a taken task back for a later time. Returns whether it had been taken.
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

    /// Forgets a taken task for good, and its job if that was the last.
    pub fn finish(&mut self, key: JobKey, index: u32) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        job.taken.remove(index);
        if job.is_over() {
            let id = job.id;
            self.cancel(id);
        }
    }

    /// Puts the job whose turn it is aside for want of room, until [`Self::unblock`]. When many jobs of
    /// one team and class want room, those behind them wait too.
    pub fn block(&mut self, key: JobKey) {
        self.set_standing(key, Standing::Blocked);
    }

    /// Puts the job whose turn it is aside, until [`Self::unblock`].
    pub fn defer(&mut self, key: JobKey) {
        self.set_standing(key, Standing::Deferred);
    }

    /// Lets a job that was put aside come up again.
    pub fn unblock(&mut self, key: JobKey) {
        let Some(job) = self.jobs.get(key) else {
            return;
        };
        if matches!(job.standing, Standing::Blocked | Standing::Deferred) {
            self.set_standing(key, Standing::Idle);
            self.enqueue(key);
        }
    }

    /// When the next delayed task becomes ready.
    pub fn next_wake(&self) -> Option<Moment> {
        self.delayed.first().map(|&(at, _, _)| at)
    }
}
