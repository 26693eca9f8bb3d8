//! The order in which jobs are placed.

use std::collections::BTreeMap;

use agate_core::{JobId, Moment};

use crate::backlog::plan::{Group, Rank};
use crate::backlog::{
    BatchOrder, LATE_FACTOR, MIN_SPEED, OpenJob, Part, Plan, Standing, Summary, min_speed,
};
use crate::plan::scheduler::Scheduler;
use crate::table::{Job, JobTable};
use crate::task::TaskKey;

/// The state of an order.
#[derive(Debug, Default)]
pub(super) enum JobOrder {
    /// Each job by its own timeliness and objective.
    #[default]
    Urgency,
    /// Best-effort jobs by a plan.
    Backlog(Box<Plan>),
}

/// A turn of a job: part of its tasks may be placed.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turn<'a> {
    pub id: JobId,
    pub job: &'a Job,
    pub part: Part,
    /// Share of its speed below which a best-effort task waits for a better worker.
    pub min_speed: f64,
}

/// Whether a job can still meet its objective.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Timeliness {
    /// The job can finish within its objective.
    InTime,
    /// The job can finish within [`LATE_FACTOR`] times its objective.
    Late,
    /// The job can't finish within either.
    Missed,
}

impl Scheduler {
    /// Sets the order in which jobs are placed.
    pub fn set_batch_order(&mut self, order: BatchOrder) {
        self.order = match order {
            BatchOrder::Urgency => JobOrder::Urgency,
            BatchOrder::Backlog => JobOrder::Backlog(Box::default()),
        };
    }

    /// Returns the number of plans made since the order was set.
    pub const fn plans_made(&self) -> u64 {
        match &self.order {
            JobOrder::Urgency => 0,
            JobOrder::Backlog(plan) => plan.made,
        }
    }

    /// Returns the summary of the newest plan unless it has been taken.
    pub fn take_backlog_summary(&mut self) -> Option<Summary> {
        match &mut self.order {
            JobOrder::Urgency => None,
            JobOrder::Backlog(plan) => plan.take_summary(),
        }
    }

    /// Returns the class of each job of the newest plan.
    pub fn standings(&self) -> BTreeMap<JobId, Standing> {
        match &self.order {
            JobOrder::Urgency => BTreeMap::new(),
            JobOrder::Backlog(plan) => plan.standings(),
        }
    }

    /// Returns the class of a job in the plan, or `None` if it has no part in one.
    pub(super) fn standing_of(&self, job: &Job, id: JobId) -> Option<Standing> {
        match &self.order {
            JobOrder::Backlog(plan) if is_planned(job) => Some(plan.rank_of(id).standing),
            JobOrder::Urgency | JobOrder::Backlog(_) => None,
        }
    }

    /// Returns the turn in which a pending task may be placed.
    pub(super) fn turn_of<'a>(&self, job: &'a Job, task: TaskKey) -> Turn<'a> {
        let turn = whole(task.job, job);
        let (JobOrder::Backlog(plan), Some(progress)) = (&self.order, job.step_progress(task))
        else {
            return turn;
        };
        if !is_planned(job) {
            return turn;
        }
        let at = (task.occurrence as usize, task.step as usize);
        let stragglers = Part::Stragglers.of(progress, self.pending_tasks(&turn, at));
        let part = if stragglers.contains(&task) {
            Part::Stragglers
        } else {
            Part::Others
        };
        planned_turn(turn, part, plan.rank_of(task.job))
    }

    /// Returns the turns of the open jobs.
    pub(super) fn turns<'a>(
        &mut self,
        table: &'a JobTable,
        now: Moment,
        wall_ms: u64,
    ) -> Vec<Turn<'a>> {
        let JobOrder::Backlog(mut plan) = std::mem::take(&mut self.order) else {
            return turns_by_urgency(table, wall_ms);
        };
        if plan.is_due(now) {
            let groups = self.groups(table);
            plan.settle(table, wall_ms);
            plan.update(&groups, now, wall_ms);
        }
        let turns = turns_by_plan(table, &plan, wall_ms);
        self.order = JobOrder::Backlog(plan);
        turns
    }

    /// Returns the best-effort jobs by service and priority.
    fn groups<'a>(&self, table: &'a JobTable) -> BTreeMap<(String, u32), Group<'a>> {
        let mut groups: BTreeMap<(String, u32), Group<'a>> = BTreeMap::new();
        let open = table.jobs().filter(|(_, job)| !job.state().is_final());
        for (id, job) in open.filter(|(_, job)| is_planned(job)) {
            let bound = self.bindings_of(id).count();
            let key = (job.policy.service.clone(), job.policy.priority);
            let group = groups.entry(key).or_default();
            group.bound += bound;
            let open_job = OpenJob::new(id, job, table.run_times(), bound);
            group.jobs.push(open_job);
        }
        groups
    }
}

/// Returns whether a job competes in a plan.
fn is_planned(job: &Job) -> bool {
    let is_best_effort = job.spec.steps.iter().all(|step| step.best_effort);
    is_best_effort && job.spec.repeat.is_none() && is_finite(job)
}

fn is_finite(job: &Job) -> bool {
    !job.spec.steps.iter().any(|step| step.long_running)
}

/// Returns the open jobs, ordered by priority, then long-running before others, then by timeliness
/// and objective.
fn turns_by_urgency(table: &JobTable, wall_ms: u64) -> Vec<Turn<'_>> {
    let open = table.jobs().filter(|(_, job)| !job.state().is_final());
    let mut jobs: Vec<_> = open
        .map(|(id, job)| {
            let key = (
                job.policy.priority,
                is_finite(job),
                timeliness(job, wall_ms),
                id,
            );
            (key, whole(id, job))
        })
        .collect();
    jobs.sort_unstable_by_key(|(key, _)| *key);
    jobs.into_iter().map(|(_, turn)| turn).collect()
}

/// Returns the open jobs, ordered by priority, then long-running ones, then others by urgency, then
/// best-effort ones by their class in the plan, stragglers of a class first.
fn turns_by_plan<'a>(table: &'a JobTable, plan: &Plan, wall_ms: u64) -> Vec<Turn<'a>> {
    let open = table.jobs().filter(|(_, job)| !job.state().is_final());
    let (planned, others): (Vec<_>, Vec<_>) = open.partition(|(_, job)| is_planned(job));
    let mut others: Vec<_> = others
        .into_iter()
        .map(|(id, job)| {
            let key = (is_finite(job), timeliness(job, wall_ms), id);
            (job.policy.priority, key, whole(id, job))
        })
        .collect();
    others.sort_unstable_by_key(|(priority, key, _)| (*priority, *key));
    let mut turns: Vec<_> = planned
        .into_iter()
        .flat_map(|(id, job)| {
            let rank = plan.rank_of(id);
            [Part::Stragglers, Part::Others].map(|part| {
                let turn = planned_turn(whole(id, job), part, rank);
                let key = (rank.standing, part, rank.position, id);
                (job.policy.priority, key, turn)
            })
        })
        .collect();
    turns.sort_unstable_by_key(|(priority, key, _)| (*priority, *key));
    let others = others
        .into_iter()
        .map(|(priority, _, turn)| (priority, turn));
    let planned = turns
        .into_iter()
        .map(|(priority, _, turn)| (priority, turn));
    let mut all: Vec<_> = others.chain(planned).collect();
    all.sort_by_key(|(priority, _)| *priority);
    all.into_iter().map(|(_, turn)| turn).collect()
}

/// Returns the turn in which a part of a planned job may be placed.
fn planned_turn(turn: Turn<'_>, part: Part, rank: Rank) -> Turn<'_> {
    Turn {
        part,
        min_speed: min_speed(part, rank.standing, rank.exceeded),
        ..turn
    }
}

/// Returns the turn of a job in which all of its tasks may be placed.
pub(super) const fn whole(id: JobId, job: &Job) -> Turn<'_> {
    Turn {
        id,
        job,
        part: Part::All,
        min_speed: MIN_SPEED,
    }
}

/// Returns the timeliness of a job and the wall-clock time by which it should finish. Jobs that
/// can't finish in time give way to those that can. A long-running job has no such time; the earlier
/// one comes first, so that a lost run doesn't wait behind jobs that were submitted since.
fn timeliness(job: &Job, wall_ms: u64) -> (Timeliness, u64) {
    if !is_finite(job) {
        return (Timeliness::InTime, job.at_ms);
    }
    let allowed_ms = job.allowed_ms();
    let objective_ms = job.at_ms.saturating_add(allowed_ms);
    let late_ms = LATE_FACTOR.saturating_mul(allowed_ms);
    let finish_ms = wall_ms.saturating_add(job.remaining_ms());
    let timeliness = if job.spec.repeat.is_some() || finish_ms <= objective_ms {
        Timeliness::InTime
    } else if finish_ms <= job.at_ms.saturating_add(late_ms) {
        Timeliness::Late
    } else {
        Timeliness::Missed
    };
    (timeliness, objective_ms)
}
