//! Placement of tasks that are ready to run.

use agate_core::{JobId, Moment};

use crate::backlog::Part;
use crate::plan::choose::{self, Candidate, Preference, Tolerance, Yield};
use crate::plan::effect::Effect;
use crate::plan::misses::Misses;
use crate::plan::order::{self, Turn};
use crate::plan::scheduler::{Placement, Scheduler};
use crate::plan::suspects;
use crate::plan::worker::{Binding, YIELD_TIME};
use crate::record::{Order, OrderKind};
use crate::spec::StepSpec;
use crate::table::{Job, JobTable};
use crate::task::TaskKey;

/// A round of placement.
pub(super) struct Round {
    now: Moment,
    /// Number of tasks that may still be placed.
    left: usize,
    placed: Vec<Placement>,
    misses: Misses,
    /// Long-running tasks that found no worker.
    waiting: Vec<TaskKey>,
    /// Those that room is reserved for.
    reserved: Vec<TaskKey>,
}

impl Round {
    pub(super) const fn now(&self) -> Moment {
        self.now
    }

    pub(super) fn waiting(&self) -> &[TaskKey] {
        &self.waiting
    }

    pub(super) fn reserved(&self) -> &[TaskKey] {
        &self.reserved
    }

    pub(super) fn placed(&self) -> &[Placement] {
        &self.placed
    }

    pub(super) const fn is_full(&self) -> bool {
        self.left == 0
    }

    pub(super) fn add(&mut self, placement: Placement) {
        self.placed.push(placement);
        self.left -= 1;
    }
}

impl Scheduler {
    /// Binds all tasks that are ready to run and fit on a worker.
    pub fn place(&mut self, table: &JobTable, now: Moment, wall_ms: u64) -> Vec<Placement> {
        self.place_up_to(usize::MAX, table, now, wall_ms)
    }

    /// Binds up to `limit` tasks that are ready to run and fit on a worker, the most urgent first. A
    /// gang that exceeds the limit is bound as a whole if nothing else has been.
    pub fn place_up_to(
        &mut self,
        limit: usize,
        table: &JobTable,
        now: Moment,
        wall_ms: u64,
    ) -> Vec<Placement> {
        if !self.withdrawal.is_known() {
            return Vec::new();
        }
        self.prune_zone_waits(table);
        self.restarts.expire(now);
        let mut round = Round {
            now,
            left: limit,
            placed: Vec::new(),
            misses: Misses::default(),
            waiting: Vec::new(),
            reserved: Vec::new(),
        };
        for worker in &mut self.workers {
            worker.clear_reservations();
        }
        self.hold_room_for_moves();
        self.place_suspects(table, &mut round, wall_ms);
        let mut priority = None;
        let turns = self.turns(table, now, wall_ms);
        for turn in &turns {
            if priority.replace(turn.job.policy.priority) != Some(turn.job.policy.priority) {
                self.place_waiting(table, turn.job.policy.priority, &mut round);
            }
            for at in ready_steps(turn.job, wall_ms) {
                if turn.job.spec.steps[at.1].gang {
                    self.place_gang(turn, at, Tolerance::Usual, &mut round);
                } else {
                    self.place_step(turn, at, &mut round);
                }
            }
        }
        self.place_starved(table, &mut round, wall_ms);
        self.begin_moves(table, now);
        self.record_waits(&round);
        self.record_short_waits(&turns, &round, wall_ms);
        round.placed
    }

    /// Places the long-running tasks of a priority that found no worker in the last round, the one that
    /// has waited longest first. While agents were stopped in series at 160 workers, the tasks of
    /// earlier jobs that were lost every half second took all room from those of later jobs, which
    /// waited for up to 27 s.
    fn place_waiting(&mut self, table: &JobTable, priority: u32, round: &mut Round) {
        for task in self.waits.longest_first(table, priority) {
            if round.is_full() {
                return;
            }
            let Some(job) = table.job(task.job).filter(|job| !job.state().is_final()) else {
                continue;
            };
            let turn = order::whole(task.job, job);
            if self.is_pending(&turn, task) {
                self.place_long_running(&turn, task, round);
            }
        }
    }

    /// Returns whether a long-running task is neither bound nor placed in another way.
    fn is_pending(&self, turn: &Turn<'_>, task: TaskKey) -> bool {
        let progress = turn.job.step_progress(task);
        let progress = progress.and_then(|step| step.tasks.get(task.index as usize));
        progress.is_some_and(|progress| !progress.done && !suspects::is_suspected(progress))
            && self.is_free(task)
    }

    fn place_long_running(&mut self, turn: &Turn<'_>, task: TaskKey, round: &mut Round) {
        if let Some(slot) = self.choose(turn, task, round.now) {
            let placement = self.bind(turn.job, task, (slot, None), round.now);
            round.add(placement);
            return;
        }
        self.note_zone_wait(turn.job, task);
        self.reserve(turn, task, round);
        round.waiting.push(task);
    }

    /// Places the tasks of a step until one finds no worker. The others of the same turn would find
    /// none either, since they ask for the same. Those that have waited have had their turn.
    fn place_step(&mut self, turn: &Turn<'_>, at: (usize, usize), round: &mut Round) {
        let step = &turn.job.spec.steps[at.1];
        if turn.part != Part::All && round.misses.covers(turn, step) {
            return;
        }
        let mut pending = self.pending_tasks(turn, at);
        if turn.job.crashed_runs > 0 {
            let tasks = &turn.job.progress[at.0][at.1].tasks;
            pending.retain(|task| !suspects::is_suspected(&tasks[task.index as usize]));
        }
        for task in turn.part.of(&turn.job.progress[at.0][at.1], pending) {
            if round.left == 0 {
                return;
            }
            if step.long_running {
                if !self.waits.contains(task) {
                    self.place_long_running(turn, task, round);
                }
                continue;
            }
            let Some(slot) = self.choose(turn, task, round.now) else {
                self.note_zone_wait(turn.job, task);
                // Workers that are closed to this job alone may take others.
                let mut workers = self.workers.iter();
                if !workers.any(|worker| worker.health.blames(turn.id)) {
                    round.misses.add(turn, step);
                }
                return;
            };
            let placement = self.bind(turn.job, task, (slot, None), round.now);
            round.add(placement);
        }
    }

    /// Reserves resources for a long-running task that fits nowhere. Otherwise short tasks, and smaller
    /// long-running ones, would take each freed part of them.
    fn reserve(&mut self, turn: &Turn<'_>, task: TaskKey, round: &mut Round) {
        let Some(candidate) = self.candidate(turn, task) else {
            return;
        };
        let demand = candidate.step.demand;
        if let Some(slot) = choose::reservation_worker(&self.workers, candidate, round.now) {
            let reserved_for = self.waits.reserved_for(task, round.now);
            self.workers[slot].reserve(task, demand, reserved_for);
            round.reserved.push(task);
        }
    }

    /// Places all tasks of a gang or none.
    pub(super) fn place_gang(
        &mut self,
        turn: &Turn<'_>,
        at: (usize, usize),
        tolerance: Tolerance,
        round: &mut Round,
    ) {
        let job = turn.job;
        let pending_tasks = self.pending_tasks(turn, at);
        let step = &job.progress[at.0][at.1];
        let exceeds = pending_tasks.len() > round.left && !round.placed.is_empty();
        if pending_tasks.len() != step.tasks.len() || exceeds || round.left == 0 {
            return;
        }
        let run = step.last_run() + 1;
        let effects = self.effects.len();
        let mut members: Vec<Placement> = Vec::new();
        let mut earlier_probes = Vec::new();
        for task in pending_tasks {
            let Some(slot) = self.choose_tolerant(turn, task, tolerance, round.now) else {
                self.effects.truncate(effects);
                for (member, probe) in members.iter().zip(earlier_probes).rev() {
                    self.unbind(member.task, probe);
                }
                self.note_zone_wait(job, task);
                return;
            };
            earlier_probes.push(self.workers[slot].health.newest_probe());
            members.push(self.bind(job, task, (slot, Some(run)), round.now));
        }
        round.left = round.left.saturating_sub(members.len());
        round.placed.append(&mut members);
    }

    /// Undoes a binding that has not been ordered; `earlier` was the newest probe of the worker before it.
    fn unbind(&mut self, task: TaskKey, earlier: Option<(TaskKey, Moment)>) {
        if let Some(binding) = self.bindings.remove(&task) {
            let worker = &mut self.workers[binding.worker];
            worker.release(task, &binding);
            worker.health.undo_binding(earlier);
        }
    }

    /// Returns the tasks of a step that may be bound: those that are neither finished, nor given up, nor bound, and
    /// don't wait before they run again.
    pub(super) fn pending_tasks(&self, turn: &Turn<'_>, at: (usize, usize)) -> Vec<TaskKey> {
        self.pending(turn, at).collect()
    }

    /// Returns the same tasks one by one.
    pub(super) fn pending<'a>(
        &'a self,
        turn: &Turn<'a>,
        at: (usize, usize),
    ) -> impl Iterator<Item = TaskKey> + 'a {
        unfinished(turn, at).filter(|task| self.is_free(*task))
    }

    /// Returns whether a task is neither bound nor has to wait before it runs again.
    fn is_free(&self, task: TaskKey) -> bool {
        !self.bindings.contains_key(&task) && !self.restarts.contains(task)
    }

    pub(super) fn choose(&self, turn: &Turn<'_>, task: TaskKey, now: Moment) -> Option<usize> {
        let mut candidate = self.candidate(turn, task)?;
        if candidate.step.long_running {
            // A task that is being moved is bound, and its zone has to be left.
            let moves = self.bindings.contains_key(&task);
            candidate.yields = if !moves && self.waits.waited(task, now) < YIELD_TIME {
                Yield::Recent
            } else {
                Yield::Nothing
            };
        }
        choose::choose(&self.workers, &self.interference, candidate, now)
    }

    /// Returns a worker for a task that accepts more than usual in it.
    fn choose_tolerant(
        &self,
        turn: &Turn<'_>,
        task: TaskKey,
        tolerance: Tolerance,
        now: Moment,
    ) -> Option<usize> {
        if tolerance == Tolerance::Usual {
            return self.choose(turn, task, now);
        }
        let candidate = Candidate {
            tolerance,
            yields: tolerance.yields(),
            ..self.candidate(turn, task)?
        };
        choose::choose(&self.workers, &self.interference, candidate, now)
    }

    /// Returns what a task leaves to long-running ones, whatever its wait.
    fn usual_yield(&self, step: &StepSpec, service: &str) -> Yield {
        if step.long_running {
            Yield::Nothing
        } else if self.short_tasks_yield(service) {
            Yield::All
        } else {
            Yield::Recent
        }
    }

    /// Returns whether short tasks leave room to long-running ones for which it has been reserved for
    /// long. The short tasks in their way may run for long as well, while most processors are idle.
    fn short_tasks_yield(&self, service: &str) -> bool {
        let mut workers = self.workers.iter();
        workers.any(|worker| !worker.reservations.is_empty())
            && choose::is_half_used(&self.workers, service)
    }

    pub(super) fn candidate<'a>(&'a self, turn: &Turn<'a>, task: TaskKey) -> Option<Candidate<'a>> {
        let job = turn.job;
        let step = job.step(task)?;
        let progress = job.step_progress(task)?.tasks.get(task.index as usize)?;
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
            min_speed: turn.min_speed,
            preference: match turn.part {
                Part::Stragglers => Preference::Fastest,
                Part::Others | Part::All => Preference::Balanced,
            },
            yields: self.usual_yield(step, &job.policy.service),
            beside_probes: false,
            tolerance: Tolerance::Usual,
            last_attempt: progress.failures + 1 >= job.policy.max_attempts,
            unstarted_cost: choose::UNSTARTED_COST,
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
    pub(super) fn bind(
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
            probe_until: suspects::probe_until(step, progress, now),
        };
        worker.bind(task, &binding);
        if !step.long_running {
            worker.health.record_binding(task, now);
        }
        let interference = if step.best_effort {
            self.interference
                .known(worker.serving_images.keys(), &step.image)
        } else {
            Vec::new()
        };
        let placed = Placement {
            task,
            run: binding.run,
            worker: incarnation.name.clone(),
            trust: worker.health.trust(now),
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
                first: !job.started,
            },
        }));
        self.bindings.insert(task, binding);
        placed
    }
}

/// Returns the unfinished steps that are due and whose dependencies have finished, by occurrence.
pub(super) fn ready_steps(job: &Job, wall_ms: u64) -> impl Iterator<Item = (usize, usize)> {
    let due_ms = |at: usize| job.spec.due_ms(u32::try_from(at).unwrap_or(u32::MAX));
    let due = (0..job.progress.len()).take_while(move |at| due_ms(*at) <= wall_ms);
    let steps = due.flat_map(|at| (0..job.spec.steps.len()).map(move |step| (at, step)));
    steps.filter(|(at, step)| !job.progress[*at][*step].is_done() && job.is_ready(*at, *step))
}

/// Returns the tasks of a step that are neither finished nor given up.
pub(super) fn unfinished<'a>(
    &Turn { id, job, .. }: &Turn<'a>,
    (occurrence, step): (usize, usize),
) -> impl Iterator<Item = TaskKey> + 'a {
    let long_running = job.spec.steps[step].long_running;
    let max_attempts = job.policy.max_attempts.max(1);
    let tasks = job.progress[occurrence][step].tasks.iter().enumerate();
    tasks
        .filter(move |(_, task)| !task.done && (long_running || task.failures < max_attempts))
        .map(move |(index, _)| task_key(id, occurrence, step, index))
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
