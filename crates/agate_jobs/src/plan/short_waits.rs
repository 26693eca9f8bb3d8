//! Jobs with a short task that is ready to run, while none of their tasks is bound, or only ones that have not been
//! started.

use std::collections::BTreeMap;
use std::time::Duration;

use agate_core::{JobId, Moment, Resources};

use crate::backlog::{Part, Standing};
use crate::plan::choose::{self, Search};
use crate::plan::obstacle::{self, Obstacle, Obstacles};
use crate::plan::order::{self, Turn};
use crate::plan::place::{self, Round, ready_steps};
use crate::plan::scheduler::Scheduler;
use crate::table::{Job, JobTable};
use crate::task::TaskKey;

/// Wait from which on a job is reported.
const REPORT_AFTER: Duration = Duration::from_secs(1);

/// Time between two reports.
const REPORT_PERIOD: Duration = Duration::from_secs(1);

/// Time between two passes over the open jobs. Rounds follow each record, and much faster at times.
const PASS_PERIOD: Duration = Duration::from_millis(100);

/// The job that has waited longest, and why its first task is on none of the workers.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ShortWait {
    /// The first short task of the job that is ready, and not bound if there is such a one.
    pub task: TaskKey,
    /// Class of the job in the plan; `None` if it has no part in one.
    pub standing: Option<Standing>,
    /// Time for which the job has waited.
    pub waited: Duration,
    /// Number of jobs that wait.
    pub waiting: usize,
    /// Number of runs of the job that are bound and have not started.
    pub unstarted: usize,
    /// What the task asks for.
    pub demand: Resources,
    /// Number of tasks that start together: those of a gang, otherwise one.
    pub members: u32,
    /// Number of workers of its service that have not left.
    pub workers: usize,
    /// Number of those by the first reason that excludes them.
    pub obstacles: Obstacles,
    /// Number of those that nothing excludes.
    pub unobstructed: usize,
    /// What is in use on the workers of its service.
    pub load: Load,
}

/// Percentages of what the workers of a service have, those in service where nothing else is said.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Load {
    /// Processors that all bound tasks ask for.
    pub busy: u64,
    /// Processors that count against the capacity, which excludes best-effort tasks.
    pub counted: u64,
    /// Memory.
    pub memory: u64,
    /// Processors or memory, whichever is more, that started runs use of all workers that have not left. Starved
    /// jobs get tasks while it is below 50.
    pub started: u64,
}

/// The waiting jobs.
#[derive(Debug, Default)]
pub(super) struct ShortWaits {
    since: BTreeMap<JobId, Moment>,
    passed_at: Option<Moment>,
    reported_at: Option<Moment>,
}

impl ShortWaits {
    /// Returns the job that has waited longest if it is due for a report.
    fn due(&self, now: Moment) -> Option<(JobId, Duration)> {
        let recent = |at: Moment| now.since(at) < REPORT_PERIOD;
        if self.reported_at.is_some_and(recent) {
            return None;
        }
        let (job, since) = self.since.iter().min_by_key(|(_, since)| **since)?;
        let waited = now.since(*since);
        (waited >= REPORT_AFTER).then_some((*job, waited))
    }

    /// Returns the waiting jobs and for how long they have waited, in descending order of that time.
    pub(super) fn longest_first(&self, now: Moment) -> Vec<(JobId, Duration)> {
        let mut waiting: Vec<_> = self.since.iter().collect();
        waiting.sort_unstable_by_key(|(job, since)| (**since, **job));
        let waits = waiting
            .into_iter()
            .map(|(job, since)| (*job, now.since(*since)));
        waits.collect()
    }
}

impl Scheduler {
    /// Returns the number of jobs with a short task that is ready and none that is bound, or only ones that have
    /// not been started.
    pub fn waiting_jobs(&self) -> usize {
        self.short_waits.since.len()
    }

    /// Returns the job with a ready short task that has waited longest, at most once a second.
    pub fn take_short_wait(
        &mut self,
        table: &JobTable,
        now: Moment,
        wall_ms: u64,
    ) -> Option<ShortWait> {
        loop {
            let (id, waited) = self.short_waits.due(now)?;
            let job = table.job(id).filter(|job| !job.state().is_final());
            let task = job.and_then(|job| Some((job, self.waiting_task((id, job), now, wall_ms)?)));
            let Some((job, task)) = task else {
                // The job has ended or started since the last pass.
                self.short_waits.since.remove(&id);
                continue;
            };
            self.short_waits.reported_at = Some(now);
            return self.diagnose_short(job, task, waited, now);
        }
    }

    /// Returns the number of open jobs with a task that is ready and not bound.
    pub fn ready_jobs(&self, table: &JobTable, wall_ms: u64) -> usize {
        let open = table.jobs().filter(|(_, job)| !job.state().is_final());
        let ready = open.filter(|(id, job)| {
            let turn = order::whole(*id, job);
            ready_steps(job, wall_ms).any(|at| self.pending(&turn, at).next().is_some())
        });
        ready.count()
    }

    /// Updates the waiting jobs after a round. What the round has bound no longer waits. Other jobs are
    /// compared with the bindings and not with what the round came to, so that a step that it has
    /// skipped waits as well. A full round has not come to all of them.
    pub(super) fn record_short_waits(&mut self, turns: &[Turn<'_>], round: &Round, wall_ms: u64) {
        for placement in round.placed() {
            self.short_waits.since.remove(&placement.task.job);
        }
        let now = round.now();
        let recent = |at: Moment| now.since(at) < PASS_PERIOD;
        if round.is_full() || self.short_waits.passed_at.is_some_and(recent) {
            return;
        }
        let mut bound: Vec<JobId> = self.bindings.keys().map(|task| task.job).collect();
        bound.dedup();
        // A job with a turn for its stragglers has another one for its other tasks.
        self.unstarted.retain_ends(&bound);
        let started = self.started_now(now);
        let waiting = turns.iter().filter(|turn| {
            turn.part != Part::Stragglers
                && started.binary_search(&turn.id).is_err()
                && first_short_task(turn, wall_ms).is_some()
        });
        let known = |id| self.short_waits.since.get(&id).copied();
        let since = |id| known(id).unwrap_or_else(|| self.unstarted_since(id, now));
        let since = waiting.map(|turn| (turn.id, since(turn.id))).collect();
        self.short_waits.since = since;
        self.short_waits.passed_at = Some(now);
    }

    /// Returns the first short task of a job that is ready and not bound, or else the first one that is ready,
    /// unless any run of the job may have started.
    fn waiting_task(&self, (id, job): (JobId, &Job), now: Moment, wall_ms: u64) -> Option<TaskKey> {
        if self.has_started(id, now) {
            return None;
        }
        let turn = order::whole(id, job);
        let pending = short_steps(job, wall_ms).find_map(|at| self.pending(&turn, at).next());
        pending.or_else(|| first_short_task(&turn, wall_ms))
    }

    fn diagnose_short(
        &self,
        job: &Job,
        task: TaskKey,
        waited: Duration,
        now: Moment,
    ) -> Option<ShortWait> {
        let recently_used = self.recently_used(now);
        let isolation = self.isolation_of(task, job, &recently_used, now);
        let turn = if isolation.is_some() {
            order::whole(task.job, job)
        } else {
            self.turn_of(job, task)
        };
        let candidate = self.candidate(&turn, task)?;
        let step = candidate.step;
        let search = Search::new(&self.workers, &self.interference, candidate, now);
        let started = self.usage(candidate.service).started_percent();
        let mut wait = ShortWait {
            task,
            standing: self.standing_of(job, task.job),
            waited,
            waiting: self.waiting_jobs(),
            unstarted: self.bindings_of(task.job).count(),
            demand: step.demand,
            members: if step.gang { step.tasks } else { 1 },
            workers: 0,
            obstacles: Obstacles::default(),
            unobstructed: 0,
            load: choose::load(&self.workers, candidate.service, started),
        };
        for (slot, worker) in self.workers.iter().enumerate() {
            if worker.report.service != candidate.service || worker.is_gone() {
                continue;
            }
            wait.workers += 1;
            let obstacle = match &isolation {
                Some(isolation) => obstacle::obstacle(worker, candidate, now)
                    .or_else(|| isolation.obstacle(slot, worker)),
                None => search.obstacle(worker),
            };
            match obstacle.or(step.gang.then_some(Obstacle::TooFewWorkers)) {
                Some(obstacle) => wait.obstacles.add(obstacle),
                None => wait.unobstructed += 1,
            }
        }
        Some(wait)
    }
}

/// Returns the first short task of a job that is ready, whether it is bound or not.
fn first_short_task(turn: &Turn<'_>, wall_ms: u64) -> Option<TaskKey> {
    short_steps(turn.job, wall_ms).find_map(|at| place::unfinished(turn, at).next())
}

fn short_steps(job: &Job, wall_ms: u64) -> impl Iterator<Item = (usize, usize)> {
    ready_steps(job, wall_ms).filter(|at| !job.spec.steps[at.1].long_running)
}
