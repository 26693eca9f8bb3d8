//! Placement of jobs that wait while most of the capacity is free.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use agate_core::{JobId, Moment};

use crate::plan::choose::{self, Candidate, Tolerance};
use crate::plan::order;
use crate::plan::place::{Round, ready_steps};
use crate::plan::scheduler::Scheduler;
use crate::plan::suspects;
use crate::table::{Job, JobTable};
use crate::task::TaskKey;

/// Time without a started task after which a job is starved. Ready work has to run within 3 s while most of the
/// capacity is free; the rest is left to the order and the start.
pub(super) const MAX_WAIT: Duration = Duration::from_secs(2);

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
    /// would wait for as long as others come. Nor do workers that are closed after failures or on probation: a
    /// fault of all of them would close the whole service. The job that has waited longest comes first.
    pub(super) fn place_starved(&mut self, table: &JobTable, round: &mut Round, wall_ms: u64) {
        let now = round.now();
        let recent = |at: Moment| now.since(at) < PASS_PERIOD;
        if self.starved.passed_at.is_some_and(recent) {
            return;
        }
        self.starved.passed_at = Some(now);
        let is_open = |id: &JobId| table.job(*id).is_some_and(|job| !job.state().is_final());
        self.starved.jobs.retain(is_open);
        let mut is_free: HashMap<&str, bool> = HashMap::new();
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
            let is_free = is_free
                .entry(service)
                .or_insert_with(|| choose::is_mostly_free(&self.workers, service));
            if !*is_free || self.has_started(id, now) {
                continue;
            }
            let Some(task) = self.short_task(id, job, wall_ms) else {
                continue;
            };
            let turn = self.turn_of(job, task);
            let tolerance = if waited >= MAX_WAIT && has_spare_attempt(job, task) {
                Tolerance::Closed
            } else {
                Tolerance::Busy
            };
            let unstarted_cost = if self.is_bound(id) {
                choose::LAST_COST
            } else {
                choose::UNSTARTED_COST
            };
            let candidate = self.candidate(&turn, task).map(|candidate| Candidate {
                tolerance,
                unstarted_cost,
                yields: false,
                ..candidate
            });
            let slot = candidate.and_then(|candidate| {
                choose::choose(&self.workers, &self.interference, candidate, now)
            });
            if let Some(slot) = slot {
                let placement = self.bind(job, task, (slot, None), now);
                round.add(placement);
                self.starved.jobs.insert(id);
            }
        }
    }

    /// Returns the first pending task of a job that is short and starts by itself.
    fn short_task(&self, id: JobId, job: &Job, wall_ms: u64) -> Option<TaskKey> {
        let whole = order::whole(id, job);
        let steps = ready_steps(job, wall_ms).filter(|at| {
            let step = &job.spec.steps[at.1];
            !step.gang && !step.long_running
        });
        let mut tasks = steps.filter_map(|at| self.pending(&whole, at).next());
        tasks.find(|task| {
            let step = job.step_progress(*task);
            let progress = step.and_then(|step| step.tasks.get(task.index as usize));
            progress.is_some_and(|progress| !suspects::is_suspected(progress))
        })
    }
}

/// Returns whether a task may fail once more. A worker that is closed is likely to fail it.
fn has_spare_attempt(job: &Job, task: TaskKey) -> bool {
    let step = job.step_progress(task);
    let progress = step.and_then(|step| step.tasks.get(task.index as usize));
    progress.is_some_and(|progress| progress.failures + 1 < job.policy.max_attempts)
}
