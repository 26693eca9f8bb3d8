//! Long-running tasks that are ready to run and find no worker.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{Moment, Resources};

use crate::plan::choose::{self, Candidate};
use crate::plan::order;
use crate::plan::place::Round;
use crate::plan::scheduler::Scheduler;
use crate::table::JobTable;
use crate::task::TaskKey;
use crate::worker::WorkerState;

/// Wait from which on a task is reported.
const REPORT_AFTER: Duration = Duration::from_secs(1);

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// The long-running task that has waited longest, and what the workers offer to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LongWait {
    /// The task.
    pub task: TaskKey,
    /// Time for which it has waited.
    pub waited: Duration,
    /// Number of long-running tasks that wait.
    pub waiting: usize,
    /// What it asks for.
    pub demand: Resources,
    /// Number of workers of its service that have not left.
    pub workers: usize,
    /// Number of those that it may run on, regardless of the room left.
    pub allowed: usize,
    /// What is free on the one of these that lacks the smallest part of its capacity.
    pub closest_free: Resources,
    /// The same, after all short tasks have ended.
    pub closest_drained: Resources,
    /// Sum of what is free on these workers.
    pub total_free: Resources,
    /// What is free on the one that lacks least among the workers whose agents stop. Nothing is started
    /// there, though their tasks go on for some seconds.
    pub closest_stopping: Resources,
    /// Worker on which room is reserved for it; empty if there is none.
    pub reserved_on: String,
}

/// The waiting tasks.
#[derive(Debug, Default)]
pub(super) struct Waits {
    since: BTreeMap<TaskKey, Moment>,
    /// The tasks that room is reserved for, and since when without a break.
    reserved_since: BTreeMap<TaskKey, Moment>,
    reported_at: Option<Moment>,
}

impl Waits {
    /// Replaces the waiting tasks by those of a round.
    fn update(&mut self, round: &Round) {
        replace(&mut self.since, round.waiting(), round.now());
        replace(&mut self.reserved_since, round.reserved(), round.now());
    }

    /// Returns whether a task found no worker in the last round.
    pub(super) fn contains(&self, task: TaskKey) -> bool {
        self.since.contains_key(&task)
    }

    /// Returns the waiting tasks of the jobs of a priority, the one that has waited longest first, and
    /// those of earlier jobs first among equals.
    pub(super) fn longest_first(&self, table: &JobTable, priority: u32) -> Vec<TaskKey> {
        let mut waiting: Vec<_> = self
            .since
            .iter()
            .filter_map(|(task, since)| {
                let job = table.job(task.job)?;
                let of_priority = job.policy.priority == priority;
                of_priority.then_some((*since, job.at_ms, *task))
            })
            .collect();
        waiting.sort_unstable();
        waiting.into_iter().map(|(.., task)| task).collect()
    }

    /// Returns the time for which a task has waited.
    pub(super) fn waited(&self, task: TaskKey, now: Moment) -> Duration {
        let since = self.since.get(&task);
        since.map_or(Duration::ZERO, |since| now.since(*since))
    }

    /// Returns the time for which room has been reserved for a task without a break.
    pub(super) fn reserved_for(&self, task: TaskKey, now: Moment) -> Duration {
        let since = self.reserved_since.get(&task);
        since.map_or(Duration::ZERO, |since| now.since(*since))
    }

    /// Returns the task that has waited longest if it is due for a report.
    fn due(&mut self, now: Moment) -> Option<(TaskKey, Duration)> {
        let recent = |at: Moment| now.since(at) < REPORT_PERIOD;
        if self.reported_at.is_some_and(recent) {
            return None;
        }
        let (task, since) = self.since.iter().min_by_key(|(_, since)| **since)?;
        let waited = now.since(*since);
        if waited < REPORT_AFTER {
            return None;
        }
        self.reported_at = Some(now);
        Some((*task, waited))
    }
}

impl Scheduler {
    /// Returns the number of long-running tasks that found no worker in the newest round.
    pub fn waiting_tasks(&self) -> usize {
        self.waits.since.len()
    }

    /// Returns the long-running task that has waited longest, at most once a second.
    pub fn take_long_wait(&mut self, table: &JobTable, now: Moment) -> Option<LongWait> {
        let (task, waited) = self.waits.due(now)?;
        let turn = order::whole(task.job, table.job(task.job)?);
        let candidate = self.candidate(&turn, task)?;
        let mut workers = self.workers.iter();
        let reserved = workers.find(|worker| worker.reservations.contains(&task));
        let reserved_on = reserved.map(|worker| worker.report.incarnation.name.clone());
        Some(LongWait {
            waited,
            reserved_on: reserved_on.unwrap_or_default(),
            ..self.diagnose(candidate, now)
        })
    }

    pub(super) fn record_waits(&mut self, round: &Round) {
        // A full round has not come to all tasks.
        if !round.is_full() {
            self.waits.update(round);
        }
    }

    fn diagnose(&self, candidate: Candidate<'_>, now: Moment) -> LongWait {
        let of_service = |worker: &&super::worker::Worker| {
            worker.report.service == candidate.service && !worker.is_gone()
        };
        let mut wait = LongWait {
            task: candidate.task,
            waited: Duration::ZERO,
            waiting: self.waiting_tasks(),
            demand: candidate.step.demand,
            workers: self.workers.iter().filter(of_service).count(),
            allowed: 0,
            closest_free: Resources::ZERO,
            closest_drained: Resources::ZERO,
            total_free: Resources::ZERO,
            closest_stopping: self.closest_stopping(candidate),
            reserved_on: String::new(),
        };
        let (mut least, mut least_drained) = (u64::MAX, u64::MAX);
        for slot in choose::allowed(&self.workers, candidate, now) {
            let worker = &self.workers[slot];
            let room = worker.report.capacity.saturating_sub(worker.held);
            let free = room.saturating_sub(worker.used);
            let drained = room.saturating_sub(worker.long_running);
            wait.allowed += 1;
            wait.total_free += free;
            let missing = worker.lack_permille(free, wait.demand);
            if missing < least {
                (least, wait.closest_free) = (missing, free);
            }
            let missing = worker.lack_permille(drained, wait.demand);
            if missing < least_drained {
                (least_drained, wait.closest_drained) = (missing, drained);
            }
        }
        wait
    }

    /// Returns what is free on the worker with a stopping agent that lacks the smallest part of its
    /// capacity for a task.
    fn closest_stopping(&self, candidate: Candidate<'_>) -> Resources {
        let stopping = self.workers.iter().filter(|worker| {
            let report = &worker.report;
            report.service == candidate.service
                && report.state == WorkerState::Ready
                && !report.agent.is_serving()
                && worker.has_runs()
        });
        let free = stopping.map(|worker| {
            let free = worker.report.capacity.saturating_sub(worker.used);
            (worker.lack_permille(free, candidate.step.demand), free)
        });
        let closest = free.min_by_key(|(missing, _)| *missing);
        closest.map_or(Resources::ZERO, |(_, free)| free)
    }
}

/// Replaces the tasks of a map by `tasks`, and keeps the times of those that it has.
fn replace(times: &mut BTreeMap<TaskKey, Moment>, tasks: &[TaskKey], now: Moment) {
    let known = std::mem::take(times);
    let since = |task| known.get(task).copied().unwrap_or(now);
    *times = tasks.iter().map(|task| (*task, since(task))).collect();
}
