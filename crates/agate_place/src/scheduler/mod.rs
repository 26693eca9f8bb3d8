//! All decisions tied together for one entry.
//!
//! Jobs, workers, ends of runs and readings go in; placements, steps against runs and jobs to be given
//! up come out. The caller binds a placement in the log, starts it, and reports what became of it.

mod blocked;
mod feedback;
mod members;
mod place;
mod policy;
mod run;
mod steps;
mod types;
mod watch;

use std::collections::{BTreeMap, BTreeSet, HashMap};
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

use crate::blame::FailureTracker;
use crate::hash::KeyHashBuilder;
use crate::interference::Model;
use crate::queue::{JobKey, Queue};
use crate::sizing::Sizing;
use crate::workers::{WorkerKey, Workers};
use blocked::{Blocked, Reservation};
use run::{Growth, Run, Trouble};
use watch::Watch;

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
    troubles: BTreeMap<TaskId, Trouble>,
    growths: SparseSecondaryMap<JobKey, Growth>,
    watches: SecondaryMap<WorkerKey, Watch>,
    /// Workers whose urgent work is slowed or whose batch work is restrained.
    pressed: BTreeSet<WorkerKey>,
    evicting: usize,
    /// Jobs that found no worker.
    blocked: Vec<Blocked>,
    /// When jobs that were put aside are tried again.
    wakes: BTreeSet<(Moment, JobKey)>,
    reservations: Vec<Reservation>,
    /// Since when jobs have found no room.
    waits: SparseSecondaryMap<JobKey, Moment>,
    probes: BTreeSet<(Moment, WorkerKey)>,
    given_up: Vec<GivenUp>,
    /// Set when a call to `next` ended with work left to look at.
    unfinished: bool,
}

impl Scheduler {
    /// Starts without jobs and workers.
    pub fn new(policy: Policy) -> Self {
        Self {
            queue: Queue::new(policy.teams.clone(), policy.ageing()),
            workers: Workers::new(policy.placement.headroom_percent),
            sizing: Sizing::new(policy.placement.quantile_percent),
            model: Model::new(policy.halflife()),
            failure_tracker: FailureTracker::new(),
            runs: HashMap::default(),
            troubles: BTreeMap::new(),
            growths: SparseSecondaryMap::new(),
            watches: SecondaryMap::new(),
            pressed: BTreeSet::new(),
            evicting: 0,
            blocked: Vec::new(),
            wakes: BTreeSet::new(),
            reservations: Vec::new(),
            waits: SparseSecondaryMap::new(),
            probes: BTreeSet::new(),
            given_up: Vec::new(),
            unfinished: false,
            policy,
        }
    }

    /// Puts another policy in force.
    pub fn configure(&mut self, now: Moment, policy: Policy) {
        self.queue.configure(policy.teams.clone(), policy.ageing());
        self.workers
            .configure(now, policy.placement.headroom_percent);
        self.sizing.configure(policy.placement.quantile_percent);
        self.model.configure(policy.halflife());
        self.policy = policy;
        self.unblock_all();
    }

    /// Adds a job. A job that is known already is left as it is.
    pub fn push(&mut self, now: Moment, spec: &JobSpec) {
        self.queue.push(now, spec);
    }

    /// Removes a job; its runs still hold room until they end. Returns whether it was known.
    pub fn cancel(&mut self, job: JobId) -> bool {
        let Some(key) = self.queue.job(job) else {
            return false;
        };
        self.forget_job(key, job);
        self.queue.cancel(job)
    }

    /// Withdraws a class or tag: none of its tasks is placed.
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

    /// Takes the jobs and tasks that were given up since the last call. They are gone from here.
    pub fn take_given_up(&mut self) -> Vec<GivenUp> {
        std::mem::take(&mut self.given_up)
    }

    /// Tasks of a job that wait.
    pub fn waiting_count(&self, job: JobId) -> u64 {
        let key = self.queue.job(job);
        key.map_or(0, |key| self.queue.waiting_count(key))
    }

    /// Whether every task in `tasks` of a job waits, is placed, or runs.
    pub fn contains_all(&self, job: JobId, tasks: &Range<u32>) -> bool {
        let key = self.queue.job(job);
        key.is_some_and(|key| self.queue.contains_all(key, tasks))
    }

    /// Number of runs that hold room.
    pub fn run_count(&self) -> usize {
        self.runs.len()
    }

    /// The workers known.
    pub fn workers(&self) -> &Workers {
        &self.workers
    }

    /// The learned slowdowns.
    pub fn model(&self) -> &Model {
        &self.model
    }

    /// The failures on record.
    pub fn failure_tracker(&self) -> &FailureTracker {
        &self.failure_tracker
    }

    /// When [`Self::next`] is worth another call if nothing else happens before.
    pub fn next_wake(&self, now: Moment) -> Option<Moment> {
        if self.unfinished {
            return Some(now);
        }
        let blocked = self.wakes.first().map(|&(at, _)| at);
        let probe = self.probes.first().map(|&(at, _)| at);
        [self.queue.next_wake(), blocked, probe]
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

    /// Forgets a task that ended for good, and its job if that was the last one.
    fn finish_task(&mut self, task: TaskId) {
        self.troubles.remove(&task);
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
            .troubles
            .range(first..=last)
            .map(|(&task, _)| task)
            .collect();
        for task in tasks {
            self.troubles.remove(&task);
        }
        self.growths.remove(key);
        self.waits.remove(key);
        self.failure_tracker.forget_job(key);
        self.unblock(key);
        self.drop_reservation(key);
    }

    fn evicting_cap(&self) -> usize {
        (self.workers.len() * crate::eviction::MAX_EVICTING_PERCENT / 100).max(1)
    }
}
