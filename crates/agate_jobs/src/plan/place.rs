//! Placement of tasks that are ready to run.

use agate_core::{JobId, Moment, Resources};

use crate::plan::choose::{self, Candidate};
use crate::plan::effect::Effect;
use crate::plan::scheduler::{Placement, Scheduler};
use crate::plan::worker::Binding;
use crate::record::{Order, OrderKind};
use crate::table::{Job, JobTable};
use crate::task::TaskKey;

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

/// Multiple of its objective after which a job counts as missed.
const LATE_FACTOR: u64 = 3;

impl Scheduler {
    /// Binds all tasks that are ready to run and fit on a worker.
    pub fn place(&mut self, table: &JobTable, now: Moment, wall_ms: u64) -> Vec<Placement> {
        let mut placed = Vec::new();
        if !self.withdrawal.is_known() {
            return placed;
        }
        self.prune_zone_waits(table);
        for worker in &mut self.workers {
            worker.reserved = Resources::ZERO;
        }
        self.hold_room_for_moves();
        for (id, job) in jobs_by_urgency(table, wall_ms) {
            for occurrence in 0..job.progress.len() {
                let due = job
                    .spec
                    .due_ms(u32::try_from(occurrence).unwrap_or(u32::MAX));
                if due > wall_ms {
                    break;
                }
                self.place_occurrence(id, job, occurrence, now, &mut placed);
            }
        }
        self.begin_moves(table, now);
        placed
    }

    fn place_occurrence(
        &mut self,
        id: JobId,
        job: &Job,
        occurrence: usize,
        now: Moment,
        placed: &mut Vec<Placement>,
    ) {
        for step in 0..job.spec.steps.len() {
            if job.progress[occurrence][step].is_done() || !job.is_ready(occurrence, step) {
                continue;
            }
            if job.spec.steps[step].gang {
                self.place_gang(id, job, (occurrence, step), now, placed);
            } else {
                self.place_step(id, job, (occurrence, step), now, placed);
            }
        }
    }

    fn place_step(
        &mut self,
        id: JobId,
        job: &Job,
        at: (usize, usize),
        now: Moment,
        placed: &mut Vec<Placement>,
    ) {
        let long_running = job.spec.steps[at.1].long_running;
        for task in self.pending_tasks(id, job, at) {
            match self.choose(job, task, now) {
                Some(slot) => placed.push(self.bind(job, task, (slot, None), now)),
                None if long_running => {
                    self.note_zone_wait(job, task);
                    self.reserve(job, task, now);
                }
                None => {
                    self.note_zone_wait(job, task);
                    return;
                }
            }
        }
    }

    /// Reserves resources for a long-running task that fits nowhere. Otherwise short tasks would
    /// take each freed part of them.
    fn reserve(&mut self, job: &Job, task: TaskKey, now: Moment) {
        let Some(candidate) = self.candidate(job, task) else {
            return;
        };
        let demand = candidate.step.demand;
        if let Some(slot) = choose::reservation_worker(&self.workers, candidate, now) {
            self.workers[slot].reserved += demand;
        }
    }

    /// Places all tasks of a gang or none.
    fn place_gang(
        &mut self,
        id: JobId,
        job: &Job,
        at: (usize, usize),
        now: Moment,
        placed: &mut Vec<Placement>,
    ) {
        let pending_tasks = self.pending_tasks(id, job, at);
        let tasks = &job.progress[at.0][at.1].tasks;
        if pending_tasks.len() != tasks.len() {
            return;
        }
        let run = tasks.iter().map(|task| task.last_run).max().unwrap_or(0) + 1;
        let effects = self.effects.len();
        let mut members: Vec<Placement> = Vec::new();
        for task in pending_tasks {
            let Some(slot) = self.choose(job, task, now) else {
                self.effects.truncate(effects);
                for member in members {
                    self.unbind(member.task);
                }
                self.note_zone_wait(job, task);
                return;
            };
            members.push(self.bind(job, task, (slot, Some(run)), now));
        }
        placed.append(&mut members);
    }

    fn unbind(&mut self, task: TaskKey) {
        if let Some(binding) = self.bindings.remove(&task) {
            self.workers[binding.worker].release(task, &binding);
        }
    }

    /// Returns the tasks of a step that are neither finished, nor bound, nor given up.
    fn pending_tasks(
        &self,
        id: JobId,
        job: &Job,
        (occurrence, step): (usize, usize),
    ) -> Vec<TaskKey> {
        let long_running = job.spec.steps[step].long_running;
        let max_attempts = job.policy.max_attempts.max(1);
        let tasks = job.progress[occurrence][step].tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| !task.done && (long_running || task.failures < max_attempts))
            .map(|(index, _)| task_key(id, occurrence, step, index))
            .filter(|task| !self.bindings.contains_key(task))
            .collect()
    }

    pub(super) fn choose(&self, job: &Job, task: TaskKey, now: Moment) -> Option<usize> {
        let candidate = self.candidate(job, task)?;
        choose::choose(&self.workers, &self.interference, candidate, now)
    }

    fn candidate<'a>(&'a self, job: &'a Job, task: TaskKey) -> Option<Candidate<'a>> {
        let step = job.step(task)?;
        let progress = &job.step_progress(task)?.tasks[task.index as usize];
        let rack = if step.one_rack {
            self.rack_of_step(task)
        } else {
            ""
        };
        Some(Candidate {
            task,
            step,
            service: &job.policy.service,
            failed_on: &progress.failed_on,
            rack,
        })
    }

    fn rack_of_step(&self, task: TaskKey) -> &str {
        let mut siblings = self
            .bindings_of(task.job)
            .filter(|(other, _)| other.occurrence == task.occurrence && other.step == task.step)
            .map(|(_, binding)| &self.workers[binding.worker]);
        let sibling = siblings.find(|worker| !worker.withdrawn);
        sibling.map_or("", choose::rack)
    }

    /// Binds a task to the worker at a slot, as run number `run` or the next one.
    fn bind(
        &mut self,
        job: &Job,
        task: TaskKey,
        (slot, run): (usize, Option<u32>),
        now: Moment,
    ) -> Placement {
        let step = &job.spec.steps[task.step as usize];
        let progress = &job.progress[task.occurrence as usize][task.step as usize];
        let progress = &progress.tasks[task.index as usize];
        let worker = &mut self.workers[slot];
        let incarnation = worker.suspicion.incarnation.clone();
        let binding = Binding {
            run: run.unwrap_or(progress.last_run + 1),
            worker: slot,
            term: (incarnation.started_ms, incarnation.term),
            demand: step.demand,
            best_effort: step.best_effort,
            serving_image: step.serving_image(),
            best_effort_image: step.best_effort_image(),
            long_running: step.long_running,
            estimate_ms: if step.long_running {
                0
            } else {
                step.estimate_ms
            },
            stopping: false,
            bound_at: now,
        };
        worker.bind(task, &binding);
        if !step.long_running {
            worker.health.record_binding();
        }
        let interference = if step.best_effort {
            self.interference
                .known(worker.serving_images.keys(), &step.image)
        } else {
            Vec::new()
        };
        if !job.started && !self.started_jobs.contains(&task.job) {
            self.started_jobs.push(task.job);
        }
        let placed = Placement {
            task,
            run: binding.run,
            worker: incarnation.name.clone(),
        };
        self.effects.push(Effect::order(Order {
            incarnation,
            task,
            run: binding.run,
            kind: OrderKind::Start {
                payload: job.spec.payload.clone(),
                checkpoint: progress.checkpoint.clone(),
                demand: step.demand,
                ticket: String::new(),
                best_effort: step.best_effort,
                checkpoints: step.checkpoints,
                image: step.image.clone(),
                target_ms: step.target_ms,
                estimate_ms: binding.estimate_ms,
                interference,
            },
        }));
        self.bindings.insert(task, binding);
        placed
    }
}

fn task_key(job: JobId, occurrence: usize, step: usize, index: usize) -> TaskKey {
    let narrow = |value: usize| u32::try_from(value).unwrap_or(u32::MAX);
    TaskKey {
        job,
        occurrence: narrow(occurrence),
        step: narrow(step),
        index: narrow(index),
    }
}

/// Returns the open jobs, ordered by priority, then long-running before others, then by timeliness
/// and objective.
fn jobs_by_urgency(table: &JobTable, wall_ms: u64) -> Vec<(JobId, &Job)> {
    let open = table.jobs().filter(|(_, job)| !job.state().is_final());
    let mut jobs: Vec<_> = open
        .map(|(id, job)| {
            let is_finite = !job.spec.steps.iter().any(|step| step.long_running);
            (
                (job.policy.priority, is_finite, timeliness(job, wall_ms), id),
                job,
            )
        })
        .collect();
    jobs.sort_unstable_by_key(|(key, _)| *key);
    jobs.into_iter()
        .map(|((_, _, _, id), job)| (id, job))
        .collect()
}

/// Returns the timeliness of a job and the wall-clock time by which it should finish. Jobs that
/// can't finish in time give way to those that can.
fn timeliness(job: &Job, wall_ms: u64) -> (Timeliness, u64) {
    let allowed_ms =
        job.policy.slack_ms + job.spec.critical_path_ms() * job.policy.stretch_milli / 1_000;
    let objective_ms = job.at_ms + allowed_ms;
    let finish_ms = wall_ms + job.remaining_ms();
    let timeliness = if job.spec.repeat.is_some() || finish_ms <= objective_ms {
        Timeliness::InTime
    } else if finish_ms <= job.at_ms + LATE_FACTOR * allowed_ms {
        Timeliness::Late
    } else {
        Timeliness::Missed
    };
    (timeliness, objective_ms)
}
