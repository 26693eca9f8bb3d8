//! Arenas of jobs and tasks, with indices by id and by holder.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;

use agate_core::{Incarnation, JobId, RunId, TaskId};
use slotmap::SlotMap;

use super::{EarlyCancels, EndedJobs, Job, JobKey, RunBinding, Task, TaskKey, TaskRange, TaskView};
use crate::{StateLimits, TaskEnd};

/// All open jobs and the recently ended ones.
#[derive(Debug, Clone)]
pub(crate) struct Jobs {
    arena: SlotMap<JobKey, Job>,
    tasks: SlotMap<TaskKey, Task>,
    by_id: BTreeMap<JobId, JobKey>,
    by_holder: BTreeMap<Incarnation, BTreeSet<TaskKey>>,
    pub(crate) ended: EndedJobs,
    pub(crate) early_cancels: EarlyCancels,
    failure_limit: usize,
}

impl Jobs {
    pub(crate) fn new(limits: &StateLimits) -> Self {
        Self {
            arena: SlotMap::with_key(),
            tasks: SlotMap::with_key(),
            by_id: BTreeMap::new(),
            by_holder: BTreeMap::new(),
            ended: EndedJobs::new(limits.ended_jobs),
            early_cancels: EarlyCancels::new(limits.early_cancels),
            failure_limit: limits.failures,
        }
    }

    pub(crate) fn key(&self, job: JobId) -> Option<JobKey> {
        self.by_id.get(&job).copied()
    }

    pub(crate) fn job(&self, key: JobKey) -> &Job {
        &self.arena[key]
    }

    pub(crate) fn task(&self, key: TaskKey) -> &Task {
        &self.tasks[key]
    }

    pub(crate) fn task_mut(&mut self, key: TaskKey) -> &mut Task {
        &mut self.tasks[key]
    }

    /// Returns the open jobs in id order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &Job> {
        self.by_id.values().map(|key| &self.arena[*key])
    }

    /// Returns the ids of open jobs after `last`, or of all open jobs if it is `None`, in order.
    pub(crate) fn after(&self, last: Option<JobId>) -> impl Iterator<Item = JobId> {
        let start = last.map_or(Bound::Unbounded, Bound::Excluded);
        self.by_id
            .range((start, Bound::Unbounded))
            .map(|(id, _)| *id)
    }

    pub(crate) fn len(&self) -> usize {
        self.arena.len()
    }

    /// Returns whether the job is open or ended recently.
    pub(crate) fn is_known(&self, job: JobId) -> bool {
        self.by_id.contains_key(&job) || self.ended.get(job).is_some()
    }

    pub(crate) fn insert_job(&mut self, job: Job) -> JobKey {
        let id = job.submitted.job;
        let key = self.arena.insert(job);
        self.by_id.insert(id, key);
        key
    }

    /// Moves a job whose last task ended to the ended jobs.
    pub(crate) fn close(&mut self, key: JobKey) {
        if let Some(job) = self.arena.remove(key) {
            self.by_id.remove(&job.submitted.job);
            self.ended.insert(job.into());
        }
    }

    /// Adds a task that is bound for the first time or restored from a snapshot.
    pub(crate) fn insert_task(&mut self, task: Task) -> TaskKey {
        let (job, index) = (task.job, task.id.index);
        let key = self.tasks.insert(task);
        self.arena[job].started.insert(index, key);
        key
    }

    pub(crate) fn set_binding(&mut self, key: TaskKey, binding: RunBinding) {
        let task = &mut self.tasks[key];
        task.binding = Some(binding);
        self.arena[task.job].running += 1;
        self.by_holder
            .entry(binding.incarnation)
            .or_default()
            .insert(key);
    }

    pub(crate) fn clear_binding(&mut self, key: TaskKey) {
        let task = &mut self.tasks[key];
        let Some(binding) = task.binding.take() else {
            return;
        };
        self.arena[task.job].running -= 1;
        if let Some(task_keys) = self.by_holder.get_mut(&binding.incarnation) {
            task_keys.remove(&key);
            if task_keys.is_empty() {
                self.by_holder.remove(&binding.incarnation);
            }
        }
    }

    /// Removes a task that ended permanently and counts how it ended.
    pub(crate) fn record_end(&mut self, task: TaskId, end: TaskEnd, reason: &str) {
        let Some(job) = self.key(task.job) else {
            return;
        };
        let job = &mut self.arena[job];
        if let Some(key) = job.started.remove(&task.index) {
            self.tasks.remove(key);
        }
        if !job.cancelled {
            job.ended.insert(task.index);
        }
        job.counts.add(end);
        if matches!(end, TaskEnd::Failed | TaskEnd::Impossible) {
            job.record_failure(task.index, reason, self.failure_limit);
        }
    }

    /// Cancels a job and ends every task of it that is not bound.
    pub(crate) fn cancel(&mut self, key: JobKey) {
        let tasks = &mut self.tasks;
        let job = &mut self.arena[key];
        job.cancelled = true;
        job.started.retain(|_, task| {
            let held = tasks[*task].binding.is_some();
            if !held {
                tasks.remove(*task);
            }
            held
        });
        let ended = job.counts.total();
        job.counts.cancelled += job.submitted.tasks - ended - job.running;
    }

    /// Returns the runs bound to a holder, in id order.
    pub(crate) fn runs_held_by(&self, holder: Incarnation) -> Vec<RunId> {
        let task_keys = self.by_holder.get(&holder).into_iter().flatten();
        let mut runs: Vec<RunId> = task_keys.map(|key| self.tasks[*key].run()).collect();
        runs.sort_unstable();
        runs
    }

    /// Returns the incarnations that hold at least one run.
    pub(crate) fn holders(&self) -> impl Iterator<Item = Incarnation> {
        self.by_holder.keys().copied()
    }

    /// Returns the task if it is open.
    pub(crate) fn task_view(&self, task: TaskId) -> Option<TaskView> {
        let job = &self.arena[self.key(task.job)?];
        if task.index >= job.submitted.tasks || job.has_ended(task.index) {
            return None;
        }
        let started = job.started.get(&task.index);
        Some(started.map_or_else(TaskView::default, |key| (&self.tasks[*key]).into()))
    }

    /// Returns the tasks of a job that can be bound.
    pub(crate) fn runnable_tasks(&self, job: &Job) -> Vec<TaskRange> {
        if job.cancelled {
            return Vec::new();
        }
        let mut taken = job.ended.clone();
        for (index, key) in &job.started {
            if self.tasks[*key].binding.is_some() {
                taken.insert(*index);
            }
        }
        taken.gaps(job.submitted.tasks)
    }
}
