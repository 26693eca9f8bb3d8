//! Placement of jobs that wait while most of the capacity is free.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use agate_core::{JobId, Moment};

use crate::plan::choose::{self, Candidate, Tolerance};
use crate::plan::misses::Misses;
use crate::plan::order;
use crate::plan::place::{Round, ready_steps};
use crate::plan::scheduler::Scheduler;
use crate::plan::suspects;
use crate::plan::usage::Usage;
use crate::table::{Job, JobTable, TaskProgress};
use crate::task::TaskKey;

/// Time without a started task after which a job is starved. Ready work has to run within 3 s while most of the
/// capacity is free; the rest is left to the order and the start.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Wait after which a last attempt takes a worker that is closed by stalls as well, and any task takes room that is
/// reserved. A quarantine and a reservation that began with the wait no longer count by then. Those that still do have
/// been renewed, which may go on without a limit.
const LONGEST_WAIT: Duration = Duration::from_millis(2_500);

/// Time between two passes over the waiting jobs. Rounds follow each record, and much faster at times.
const PASS_PERIOD: Duration = Duration::from_millis(100);

/// The jobs that get tasks as starved ones, and the time of the last pass.
#[derive(Debug, Default)]
pub(super) struct Starved {
    /// Jobs that were starved once. They wait no further for their next task: otherwise little of a job with
    /// short tasks would run.
    jobs: BTreeSet<JobId>,
    passed_at: Option<Moment>,
}

impl Scheduler {
    /// Binds a task of each starved job of which nothing is bound, or only runs that have not been started. These
    /// stay bound, so the job gets another one of its tasks, on another worker if any has room. Processors that
    /// other best-effort tasks use don't matter to a best-effort job: they count against no capacity, so the job
    /// would wait for as long as others come. Nor does it matter that a worker is closed by stalls or on probation:
    /// a fault of all of them would close the whole service. A last attempt waits longer for one that isn't closed.
    /// The job that has waited longest comes first.
    pub(super) fn place_starved(&mut self, table: &JobTable, round: &mut Round, wall_ms: u64) {
        let now = round.now();
        let recent = |at: Moment| now.since(at) < PASS_PERIOD;
        if self.starved.passed_at.is_some_and(recent) {
            return;
        }
        self.starved.passed_at = Some(now);
        let is_open = |id: &JobId| table.job(*id).is_some_and(|job| !job.state().is_final());
        self.starved.jobs.retain(is_open);
        let mut usages: HashMap<&str, Usage> = HashMap::new();
        let mut misses = StarvedMisses::default();
        for (id, waited) in self.short_waits.longest_first(now) {
            if round.is_full() {
                return;
            }
            if waited < MAX_WAIT && !self.starved.jobs.contains(&id) {
                continue;
            }
            let Some(job) = table.job(id).filter(|job| !job.state().is_final()) else {
                continue;
            };
            let service = job.policy.service.as_str();
            let usage = usages.entry(service).or_insert_with(|| self.usage(service));
            if !usage.is_mostly_free() || self.has_started(id, now) {
                continue;
            }
            let known = round.placed().len();
            if let Some((task, slot)) =
                self.choose_starved((id, job, waited), &mut misses, now, wall_ms)
            {
                let placement = self.bind(job, task, (slot, None), now);
                round.add(placement);
            } else {
                self.place_starved_gang((id, job, waited), round, wall_ms);
            }
            let placed = &round.placed()[known..];
            if !placed.is_empty() {
                self.starved.jobs.insert(id);
            }
            for binding in placed
                .iter()
                .filter_map(|placed| self.bindings.get(&placed.task))
            {
                usage.add_bound(binding.counted());
            }
        }
    }

    /// Binds the first gang of short tasks of a starved job for which there are workers.
    fn place_starved_gang(
        &mut self,
        (id, job, waited): (JobId, &Job, Duration),
        round: &mut Round,
        wall_ms: u64,
    ) {
        let turn = order::whole(id, job);
        let known = round.placed().len();
        for at in ready_steps(job, wall_ms) {
            let step = &job.spec.steps[at.1];
            if !step.gang || step.long_running {
                continue;
            }
            let last_attempt = {
                let mut members = self.pending(&turn, at);
                members.any(|task| !has_spare_attempt(job, task))
            };
            let tolerance = tolerance_after(waited, last_attempt);
            self.place_gang(&turn, at, tolerance, round);
            if round.placed().len() > known {
                return;
            }
        }
    }

    /// Returns a task of a starved job and the worker for it.
    fn choose_starved(
        &self,
        (id, job, waited): (JobId, &Job, Duration),
        misses: &mut StarvedMisses,
        now: Moment,
        wall_ms: u64,
    ) -> Option<(TaskKey, usize)> {
        let mut tasks = self.short_tasks(id, job, wall_ms).into_iter();
        tasks.find_map(|task| {
            let turn = self.turn_of(job, task);
            let candidate = self.candidate(&turn, task)?;
            let tolerance = tolerance_after(waited, candidate.last_attempt);
            let unstarted_cost = if self.is_bound(id) {
                choose::LAST_COST
            } else {
                choose::UNSTARTED_COST
            };
            let candidate = Candidate {
                tolerance,
                unstarted_cost,
                yields: tolerance.yields(),
                ..candidate
            };
            let misses = misses.of(&candidate);
            if misses.covers(&turn, candidate.step) {
                return None;
            }
            let slot = choose::choose(&self.workers, &self.interference, candidate, now);
            if slot.is_none() {
                misses.add(&turn, candidate.step);
            }
            Some((task, slot?))
        })
    }

    /// Returns the pending tasks of a job to try: of each step with short tasks that start by themselves, the
    /// first one and the first one that may fail once more.
    fn short_tasks(&self, id: JobId, job: &Job, wall_ms: u64) -> Vec<TaskKey> {
        let whole = order::whole(id, job);
        let steps = ready_steps(job, wall_ms).filter(|at| {
            let step = &job.spec.steps[at.1];
            !step.gang && !step.long_running
        });
        let mut found = Vec::new();
        for at in steps {
            let tasks = || {
                let pending = self.pending(&whole, at);
                pending.filter(|task| !is_suspected(job, *task))
            };
            let spare = tasks().find(|task| has_spare_attempt(job, *task));
            found.extend(spare.into_iter().chain(tasks().next()));
        }
        found.dedup();
        found
    }
}

/// Returns what a task accepts after a wait. A last attempt stays away from closed workers for longer, and all tasks
/// from room that is reserved.
fn tolerance_after(waited: Duration, last_attempt: bool) -> Tolerance {
    if waited < MAX_WAIT {
        Tolerance::Busy
    } else if waited >= LONGEST_WAIT {
        Tolerance::Reserved
    } else if !last_attempt {
        Tolerance::Closed
    } else {
        Tolerance::Probation
    }
}

/// The tasks that found no worker in a pass, by what they accept and whether they may fail only once more.
#[derive(Debug, Default)]
struct StarvedMisses(HashMap<(Tolerance, bool), Misses>);

impl StarvedMisses {
    fn of(&mut self, task: &Candidate<'_>) -> &mut Misses {
        let key = (task.tolerance, task.last_attempt);
        self.0.entry(key).or_default()
    }
}

fn is_suspected(job: &Job, task: TaskKey) -> bool {
    progress_of(job, task).is_some_and(suspects::is_suspected)
}

/// Returns whether a task may fail once more. A worker that is closed is likely to fail it.
fn has_spare_attempt(job: &Job, task: TaskKey) -> bool {
    let progress = progress_of(job, task);
    progress.is_some_and(|progress| progress.failures + 1 < job.policy.max_attempts)
}

fn progress_of(job: &Job, task: TaskKey) -> Option<&TaskProgress> {
    job.step_progress(task)?.tasks.get(task.index as usize)
}
