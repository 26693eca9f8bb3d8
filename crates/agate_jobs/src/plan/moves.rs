//! Moves of serving tasks out of withdrawn zones.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_core::{JobId, Moment, Resources};

use crate::plan::order;
use crate::plan::scheduler::Scheduler;
use crate::plan::withdrawal::ZoneChange;
use crate::plan::worker::Binding;
use crate::spec::StepSpec;
use crate::table::{Job, JobTable};
use crate::task::TaskKey;

/// Time after its binding until a serving task counts as available.
const READY_AFTER: Duration = Duration::from_secs(6);

/// Largest number of moves in progress, over all steps. Each one holds room on a second worker.
const MAX_MOVES: usize = 8;

/// A step of an occurrence of a job.
type StepKey = (JobId, u32, u32);

/// Room that a move holds on the worker on which the task fits.
#[derive(Debug, Clone, Copy)]
struct Target {
    slot: usize,
    demand: Resources,
}

/// The moves in progress.
#[derive(Debug, Default)]
pub(super) struct Moves {
    /// The tasks that are being moved, until they are available again. One that an earlier leader has
    /// stopped has no target.
    open: BTreeMap<TaskKey, Option<Target>>,
    /// Time from which a task without a target or a worker counts as waiting for capacity. It would
    /// otherwise block all moves for as long as it waits.
    adopted_until: Moment,
}

impl Moves {
    fn has_open(&self, step: StepKey) -> bool {
        self.open.keys().any(|task| step_of(*task) == step)
    }
}

impl Scheduler {
    /// Holds room for the tasks that are being moved and have not yet ended.
    pub(super) fn hold_room_for_moves(&mut self) {
        for worker in &mut self.workers {
            worker.held = Resources::ZERO;
        }
        for (task, target) in &self.moves.open {
            let stopping = self.bindings.get(task).is_some_and(|b| b.stopping);
            if let (Some(target), true) = (target, stopping) {
                self.workers[target.slot].held += target.demand;
            }
        }
    }

    /// Stops serving tasks in withdrawn zones that have room elsewhere: at most one of each step, and
    /// none that would leave more than `max_unavailable` tasks of its step unavailable.
    pub(super) fn begin_moves(&mut self, table: &JobTable, now: Moment) {
        self.settle_moves(table, now);
        for step in self.steps_in_withdrawn_zones() {
            if self.moves.open.len() >= MAX_MOVES {
                return;
            }
            self.move_task_of(table, step, now);
        }
    }

    /// Forgets the moves whose task is available again or no longer wanted.
    fn settle_moves(&mut self, table: &JobTable, now: Moment) {
        let (bindings, adopting) = (&self.bindings, now < self.moves.adopted_until);
        self.moves.open.retain(|task, target| {
            let job = table.job(task.job).filter(|job| !job.state().is_final());
            let wanted = job.is_some_and(|job| !is_done(job, *task));
            let waits = target.is_some() || adopting;
            let binding = bindings.get(task);
            wanted && binding.map_or(waits, |b| b.stopping || is_recent(b, now))
        });
    }

    /// Counts the tasks of a job that an earlier leader may have stopped as moves in progress.
    pub(super) fn adopt_moves(&mut self, id: JobId, job: &Job) {
        let tasks = movable_tasks(id, job).filter(|(task, ran)| {
            let binding = self.bindings.get(task);
            binding.map_or(*ran, |binding| binding.stopping)
        });
        let tasks = tasks.map(|(task, _)| (task, None));
        self.moves.open.extend(tasks);
    }

    /// Starts the time for which adopted moves count as being in progress.
    pub(super) fn start_adoption(&mut self, now: Moment) {
        self.moves.adopted_until = now + READY_AFTER;
    }

    fn steps_in_withdrawn_zones(&self) -> BTreeSet<StepKey> {
        let workers = self.workers.iter().filter(|worker| worker.withdrawn);
        workers
            .flat_map(|worker| worker.step_tasks.keys().copied())
            .collect()
    }

    fn move_task_of(&mut self, table: &JobTable, key: StepKey, now: Moment) {
        let Some(job) = table.job(key.0) else {
            return;
        };
        let Some(step) = movable_step(job, key) else {
            return;
        };
        // The tasks that are being moved don't count against the limit for each worker yet.
        if step.per_worker > 0 && self.moves.has_open(key) {
            return;
        }
        if self.unavailable_tasks(key, step, now) >= step.max_unavailable {
            return;
        }
        let Some(task) = self.withdrawn_task(key, now) else {
            return;
        };
        if let Some(slot) = self.choose(&order::whole(key.0, job), task, now) {
            let demand = step.demand;
            self.begin_move(task, Target { slot, demand });
        }
    }

    fn begin_move(&mut self, task: TaskKey, target: Target) {
        let Some(binding) = self.bindings.get(&task) else {
            return;
        };
        let worker = &self.workers[binding.worker].report;
        let room_on = &self.workers[target.slot].report;
        let change = ZoneChange::TaskMoves {
            task,
            run: binding.run,
            zone: worker.zone.clone(),
            worker: worker.incarnation.name.clone(),
            room_on: room_on.incarnation.name.clone(),
        };
        self.withdrawal.note(change);
        self.workers[target.slot].held += target.demand;
        self.moves.open.insert(task, Some(target));
        self.stop(task);
    }

    /// Returns the first available task of a step on a worker of a withdrawn zone.
    fn withdrawn_task(&self, key: StepKey, now: Moment) -> Option<TaskKey> {
        let mut tasks = self.bindings.range(tasks_of(key));
        let task = tasks.find(|(_, binding)| {
            self.workers[binding.worker].withdrawn && self.is_available(binding, now)
        });
        task.map(|(task, _)| *task)
    }

    fn unavailable_tasks(&self, key: StepKey, step: &StepSpec, now: Moment) -> u32 {
        let bound = self.bindings.range(tasks_of(key));
        let available = bound.filter(|(_, binding)| self.is_available(binding, now));
        let available = u32::try_from(available.count()).unwrap_or(u32::MAX);
        step.tasks.saturating_sub(available)
    }

    fn is_available(&self, binding: &Binding, now: Moment) -> bool {
        let worker = &self.workers[binding.worker];
        let current = &worker.suspicion.incarnation;
        !binding.stopping
            && !is_recent(binding, now)
            && binding.term == (current.started_ms, current.term)
            && worker.is_in_service()
    }
}

/// Returns the step if its tasks may be moved. A single member of a gang can't be started elsewhere.
fn movable_step(job: &Job, (_, _, step): StepKey) -> Option<&StepSpec> {
    let step = job.spec.steps.get(step as usize)?;
    let movable = step.long_running && !step.gang && step.max_unavailable > 0;
    (movable && !job.state().is_final()).then_some(step)
}

/// Returns the tasks of a job that may be moved, and whether each of them has run before.
fn movable_tasks(id: JobId, job: &Job) -> impl Iterator<Item = (TaskKey, bool)> {
    let steps = (0..)
        .zip(&job.progress)
        .flat_map(move |(occurrence, steps)| {
            let steps = (0..).zip(steps);
            steps.map(move |(step, progress)| ((id, occurrence, step), progress))
        });
    let steps = steps.filter(|(key, _)| movable_step(job, *key).is_some());
    steps.flat_map(|(key, progress)| {
        let tasks = (0..).zip(&progress.tasks);
        tasks.map(move |(index, task)| (task_of(key, index), task.last_run > 0))
    })
}

fn is_recent(binding: &Binding, now: Moment) -> bool {
    now.since(binding.bound_at) < READY_AFTER
}

fn is_done(job: &Job, task: TaskKey) -> bool {
    let progress = job.step_progress(task);
    let progress = progress.and_then(|step| step.tasks.get(task.index as usize));
    progress.is_none_or(|task| task.done)
}

const fn step_of(task: TaskKey) -> StepKey {
    (task.job, task.occurrence, task.step)
}

const fn task_of((job, occurrence, step): StepKey, index: u32) -> TaskKey {
    TaskKey {
        job,
        occurrence,
        step,
        index,
    }
}

const fn tasks_of(step: StepKey) -> std::ops::RangeInclusive<TaskKey> {
    task_of(step, 0)..=task_of(step, u32::MAX)
}
