//! Combines all decisions for one entry.
//!
//! The inputs are jobs, workers, results of runs and readings. The outputs are placements, steps
//! against runs, and jobs to give up. The caller binds a placement in the log, starts the run, and
//! reports the result.

mod blocked;
mod feedback;
mod holds;
mod members;
mod monitor;
mod place;
mod policy;
mod run;
mod steps;
mod types;

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::ops::Range;

use agate_core::{JobId, Moment, TaskId};
use slotmap::{SecondaryMap, SparseSecondaryMap};

pub use crate::eviction::StepKind;
pub use crate::impossible::ViewState;
pub use crate::queue::JobSpec;
pub use policy::Policy;
pub use types::{
    AdoptedRun, Disposition, GiveUpReason, GivenUp, Placement, RunOutcome, Selector, Step,
    UrgentReading, WorkerSpec,
};

use crate::TeamKey;
use crate::blame::FailureTracker;
use crate::hash::KeyHashBuilder;
use crate::interference::Model;
use crate::queue::{JobKey, Queue};
use crate::sizing::Sizing;
use crate::workers::{WorkerKey, Workers};
use blocked::{Blocked, OverQuota, Reservation};
use holds::Holds;
use monitor::Monitor;
use run::{OomHistory, Run, TaskHistory};

/// The scheduler of one entry.
#[derive(Debug)]
pub struct Scheduler {
    policy: Policy,
    queue: Queue,
    workers: Workers,
    sizing: Sizing,
    model: Model,
    failure_tracker: FailureTracker,
    runs: HashMap<TaskId, Run, KeyHashBuilder>,
    task_histories: BTreeMap<TaskId, TaskHistory>,
    oom_histories: SparseSecondaryMap<JobKey, OomHistory>,
    monitors: SecondaryMap<WorkerKey, Monitor>,
    /// Workers whose urgent work is slowed or whose batch runs are throttled or being evicted.
    under_pressure: BTreeSet<WorkerKey>,
    evicting: usize,
    /// Jobs that no worker was found for.
    blocked: Vec<Blocked>,
    /// When blocked and deferred jobs are retried.
    retry_times: BTreeSet<(Moment, JobKey)>,
    reservations: Vec<Reservation>,
    /// Jobs that exceed the quota of their team, in the order in which they were blocked. Some may have been
    /// retried since.
    over_quota: BTreeMap<TeamKey, VecDeque<OverQuota>>,
    /// When teams that are skipped are no longer held back.
    cap_times: BTreeSet<(Moment, TeamKey)>,
    holds: Holds,
    /// When each job was first found to fit no worker, or not into the quota of its team.
    waiting_since: SparseSecondaryMap<JobKey, Moment>,
    probe_times: BTreeSet<(Moment, WorkerKey)>,
    /// When the trial of a worker on probation allows another run.
    trial_times: BTreeSet<(Moment, WorkerKey, TaskId)>,
    given_up: Vec<GivenUp>,
    /// Whether the last call to `next` stopped before it had checked all jobs.
    has_more: bool,
}

impl Scheduler {
    /// Creates a scheduler without jobs and workers.
    pub fn new(policy: Policy) -> Self {
        Self {
            queue: Queue::new(policy.teams.clone(), policy.ageing()),
            workers: Workers::new(policy.placement.headroom_percent),
            sizing: Sizing::new(policy.placement.quantile_percent),
            model: Model::new(policy.halflife()),
            failure_tracker: FailureTracker::new(),
            runs: HashMap::default(),
            task_histories: BTreeMap::new(),
            oom_histories: SparseSecondaryMap::new(),
            monitors: SecondaryMap::new(),
            under_pressure: BTreeSet::new(),
            evicting: 0,
            blocked: Vec::new(),
            retry_times: BTreeSet::new(),
            reservations: Vec::new(),
            over_quota: BTreeMap::new(),
            cap_times: BTreeSet::new(),
            holds: Holds::default(),
            waiting_since: SparseSecondaryMap::new(),
            probe_times: BTreeSet::new(),
            trial_times: BTreeSet::new(),
            given_up: Vec::new(),
            has_more: false,
            policy,
        }
    }

    /// Replaces the policy.
    pub fn configure(&mut self, now: Moment, policy: Policy) {
        self.queue.configure(policy.teams.clone(), policy.ageing());
        self.workers
            .configure(now, policy.placement.headroom_percent);
        self.sizing.configure(policy.placement.quantile_percent);
        self.model.configure(policy.halflife());
        self.policy = policy;
        self.unblock_all();
    }

    /// Adds a job. Does nothing if the job is already known.
    pub fn push(&mut self, now: Moment, spec: &JobSpec) {
        self.queue.push(now, spec);
    }

    /// Removes a job. Its runs keep their resources until they end. Returns whether the job was
    /// known.
    pub fn cancel(&mut self, job: JobId) -> bool {
        let Some(key) = self.queue.job(job) else {
            return false;
        };
        self.forget_job(key, job);
        self.queue.cancel(job)
    }

    /// Withdraws a class or tag: its tasks are not placed.
    pub fn withdraw(&mut self, selector: &Selector) {
        match selector {
            Selector::Class(class) => self.queue.withdraw_class(class),
            Selector::Tag(tag) => self.queue.withdraw_tag(tag),
        }
    }

    /// Resumes a class or tag.
    pub fn resume(&mut self, selector: &Selector) {
        match selector {
            Selector::Class(class) => self.queue.resume_class(class),
            Selector::Tag(tag) => self.queue.resume_tag(tag),
        }
    }

    /// Returns the jobs and tasks given up since the last call. The scheduler has already removed
    /// them.
    pub fn take_given_up(&mut self) -> Vec<GivenUp> {
        std::mem::take(&mut self.given_up)
    }

    /// Returns the number of waiting tasks of a job.
    pub fn waiting_count(&self, job: JobId) -> u64 {
        let key = self.queue.job(job);
        key.map_or(0, |key| self.queue.waiting_count(key))
    }

    /// Whether every task of `tasks` is waiting, placed or running.
    pub fn contains_all(&self, job: JobId, tasks: &Range<u32>) -> bool {
        let key = self.queue.job(job);
        key.is_some_and(|key| self.queue.contains_all(key, tasks))
    }

    /// Returns the number of runs that hold resources.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// Returns the known workers.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// Returns the interference model.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// Returns the failure records.
    pub fn failure_tracker(&self) -> &FailureTracker {
        &self.failure_tracker
    }

    /// Returns when to call [`Self::next`] again if nothing else happens before.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        if self.has_more {
            return Some(now);
        }
        let blocked = self.retry_times.first().map(|&(at, _)| at);
        let probe = self.probe_times.first().map(|&(at, _)| at);
        let trial = self.trial_times.first().map(|&(at, ..)| at);
        let cap = self.cap_times.first().map(|&(at, _)| at);
        [self.queue.next_wake(), blocked, probe, trial, cap]
            .into_iter()
            .flatten()
            .min()
    }

    fn give_up(&mut self, job: JobId, task: Option<TaskId>, reason: GiveUpReason) {
        self.given_up.push(GivenUp { job, task, reason });
        match task {
            None => {
                self.cancel(job);
            }
            Some(task) => self.finish_task(task),
        }
    }

    /// Removes a task that has ended for good, and its job if no other tasks are left.
    fn finish_task(&mut self, task: TaskId) {
        self.task_histories.remove(&task);
        let Some(key) = self.queue.job(task.job) else {
            return;
        };
        self.queue.finish(key, task.index);
        if self.queue.id(key).is_none() {
            self.forget_job(key, task.job);
        }
    }

    fn forget_job(&mut self, key: JobKey, job: JobId) {
        let first = TaskId { job, index: 0 };
        let last = TaskId {
            job,
            index: u32::MAX,
        };
        let tasks: Vec<TaskId> = self
            .task_histories
            .range(first..=last)
            .map(|(&task, _)| task)
            .collect();
        for task in tasks {
            self.task_histories.remove(&task);
        }
        self.oom_histories.remove(key);
        self.waiting_since.remove(key);
        self.failure_tracker.forget_job(key);
        self.unblock(key);
        self.drop_reservation(key);
    }

    fn max_evicting(&self) -> usize {
        (self.workers.len() * crate::eviction::MAX_EVICTING_PERCENT / 100).max(1)
    }
}
