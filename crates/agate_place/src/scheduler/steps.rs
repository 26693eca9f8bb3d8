//! Readings of urgent work, and the steps that follow from them.

use agate_core::{Moment, TaskId};

use super::run::{Restraint, Run, THROTTLED_SHARE};
use super::{Scheduler, Step, StepKind, UrgentReading};
use crate::amount;
use crate::eviction::{Candidate, PressureLevel, choose_victim};
use crate::interference::{Band, Sample};
use crate::workers::{UrgentState, WorkerKey};

/// Share of the measured slowdown below which the runs that could be restrained are left alone.
const HARMLESS: f64 = 0.25;

/// Which runs a step could be taken against.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Among {
    Free,
    Throttled,
}

impl Scheduler {
    /// Takes a lagging reading in: the model learns from what ran when it was taken, and the worker's
    /// pressure is updated.
    pub fn observe_urgent(&mut self, now: Moment, reading: &UrgentReading) {
        let Some(key) = self.workers.key(reading.worker) else {
            return;
        };
        let class = self.queue.class(&reading.class);
        let band = Band::of(reading.load_percent);
        let measured_at = now - reading.age;
        let slowdown = amount::ratio(reading.slowdown_percent);
        let sample = Sample {
            urgent: class,
            band,
            measured_at,
            slowdown,
        };
        let worker = self.workers.get(key);
        if let Some(mix) = worker.and_then(|w| w.history.at(measured_at)) {
            self.model.learn(now, sample, mix);
        }
        let state = UrgentState {
            class,
            band,
            measured_at,
        };
        self.workers.record_urgent(key, state);
        if let Some(watch) = self.watches.get_mut(key) {
            watch
                .pressure
                .observe(class, measured_at, slowdown, &self.policy.eviction);
            self.pressed.insert(key);
        }
    }

    /// The steps that are due. Each is taken as done: the caller sends it to the worker.
    pub fn steps(&mut self, now: Moment) -> Vec<Step> {
        let mut steps = Vec::new();
        let pressed: Vec<WorkerKey> = self.pressed.iter().copied().collect();
        for key in pressed {
            steps.extend(self.overdue(now, key));
            if let Some(task) = self.step(now, key) {
                steps.push(task);
            }
            self.refresh_admission(key);
        }
        steps
    }

    fn step(&mut self, now: Moment, key: WorkerKey) -> Option<Step> {
        let zone = self
            .watches
            .get(key)?
            .pressure
            .held_zone(&self.policy.eviction);
        match zone {
            PressureLevel::Critical => self.evict(now, key).or_else(|| self.throttle(now, key)),
            PressureLevel::High => self.throttle(now, key),
            PressureLevel::Moderate => None,
            PressureLevel::Low => self.release(now, key),
        }
    }

    fn throttle(&mut self, now: Moment, key: WorkerKey) -> Option<Step> {
        let task = self.victim(now, key, Among::Free)?;
        self.restrain(now, key, task, Restraint::Throttled);
        self.step_up(now, key);
        self.emit(task, key, StepKind::Throttle)
    }

    fn evict(&mut self, now: Moment, key: WorkerKey) -> Option<Step> {
        if self.evicting >= self.evicting_cap() {
            return None;
        }
        let task = self.victim(now, key, Among::Throttled)?;
        self.restrain(now, key, task, Restraint::Evicting(now));
        self.evicting += 1;
        if let Some(watch) = self.watches.get_mut(key) {
            watch.evicting += 1;
        }
        self.step_up(now, key);
        self.emit(task, key, StepKind::Evict)
    }

    fn release(&mut self, now: Moment, key: WorkerKey) -> Option<Step> {
        let candidates = self.candidates(now, key, Among::Throttled);
        let least = candidates
            .iter()
            .min_by(|a, b| a.slowdown_ln.total_cmp(&b.slowdown_ln));
        let Some(task) = least.map(|s| s.task) else {
            self.settle(key);
            return None;
        };
        self.restrain(now, key, task, Restraint::Free);
        if let Some(watch) = self.watches.get_mut(key) {
            watch.pressure.step_down(now);
        }
        self.emit(task, key, StepKind::Release)
    }

    /// Stops runs whose checkpoint takes too long.
    fn overdue(&mut self, now: Moment, key: WorkerKey) -> Vec<Step> {
        let limit = amount::millis(self.policy.eviction.checkpoint_ms);
        let mut due = Vec::new();
        if self
            .watches
            .get(key)
            .is_none_or(|watch| watch.evicting == 0)
        {
            return due;
        }
        let mut tasks = Vec::new();
        for task in self.runs_on(key) {
            let Some(run) = self.runs.get_mut(&task) else {
                continue;
            };
            if let Restraint::Evicting(since) = run.restraint
                && now.since(since) >= limit
            {
                run.restraint = Restraint::Evicting(now);
                tasks.push(task);
            }
        }
        let stops = tasks.into_iter();
        due.extend(stops.filter_map(|task| self.emit(task, key, StepKind::Stop)));
        due
    }

    fn victim(&self, now: Moment, key: WorkerKey, among: Among) -> Option<TaskId> {
        let candidates = self.candidates(now, key, among);
        if self.are_harmless(now, key, &candidates) {
            return None;
        }
        choose_victim(&candidates, &self.policy.weights)
    }

    /// Whether the suspects are well known and together cause little of what is measured, so that a
    /// step against them would cost batch work and help nobody.
    fn are_harmless(&self, now: Moment, key: WorkerKey, candidates: &[Candidate]) -> bool {
        let Some(state) = self.worst(key) else {
            return false;
        };
        let is_known = |candidate: &Candidate| {
            let run = self.runs.get(&candidate.task);
            run.is_some_and(|r| {
                self.model
                    .has_evidence(now, state.class, state.band, r.class)
            })
        };
        let watch = self.watches.get(key);
        let measured_slowdown = watch.map_or(1.0, |watch| watch.pressure.slowdown());
        let caused: f64 = candidates
            .iter()
            .map(|candidate| candidate.slowdown_ln)
            .sum();
        candidates.iter().all(is_known) && caused < measured_slowdown.max(1.0).ln() * HARMLESS
    }

    fn candidates(&self, now: Moment, key: WorkerKey, among: Among) -> Vec<Candidate> {
        let worst = self.worst(key);
        let tasks = self.runs_on(key);
        let runs = tasks
            .iter()
            .filter_map(|task| self.runs.get(task).map(|run| (*task, run)));
        let wanted = runs.filter(|(_, run)| match among {
            Among::Free => run.restraint == Restraint::Free,
            Among::Throttled => run.restraint == Restraint::Throttled,
        });
        let candidate = |(task, run): (TaskId, &Run)| Candidate {
            task,
            slowdown_ln: worst.map_or(0.0, |state| {
                let of = (state.class, state.band);
                self.model.coefficient(now, of.0, of.1, run.class) * self.full_share(key, run)
            }),
            share: self.full_share(key, run),
            since_checkpoint: now.since(run.saved),
            evictions: self.troubles.get(&task).map_or(0, |t| t.evictions),
        };
        wanted.map(candidate).collect()
    }

    /// The newest reading of the urgent class that suffers most.
    fn worst(&self, key: WorkerKey) -> Option<UrgentState> {
        let class = self.watches.get(key)?.pressure.worst()?;
        let worker = self.workers.get(key)?;
        let state = worker.urgent.iter().find(|state| state.class == class);
        state.copied()
    }

    fn full_share(&self, key: WorkerKey, run: &Run) -> f64 {
        let worker = self.workers.get(key);
        worker.map_or(0.0, |w| w.share(run.demand))
    }

    fn restrain(&mut self, now: Moment, key: WorkerKey, task: TaskId, to: Restraint) {
        let Some(run) = self.runs.get(&task) else {
            return;
        };
        let full = self.full_share(key, run);
        let share = match to {
            Restraint::Free => full,
            Restraint::Throttled | Restraint::Evicting(_) => full * THROTTLED_SHARE,
        };
        let (class, change) = (run.class, share - run.share);
        self.workers.adjust_mix(now, key, class, change);
        if let Some(run) = self.runs.get_mut(&task) {
            run.restraint = to;
            run.share = share;
        }
    }

    fn step_up(&mut self, now: Moment, key: WorkerKey) {
        if let Some(watch) = self.watches.get_mut(key) {
            watch.pressure.step_up(now, &self.policy.eviction);
        }
    }

    /// Stops looking at a worker that is calm and has nothing to take back.
    fn settle(&mut self, key: WorkerKey) {
        let is_evicting = |task: &TaskId| {
            let run = self.runs.get(task);
            run.is_some_and(|run| run.restraint != Restraint::Free)
        };
        if !self.runs_on(key).iter().any(is_evicting) {
            self.pressed.remove(&key);
        }
    }

    fn runs_on(&self, key: WorkerKey) -> Vec<TaskId> {
        let worker = self.workers.get(key);
        worker.map_or_else(Vec::new, |worker| worker.runs.clone())
    }

    fn emit(&self, task: TaskId, key: WorkerKey, kind: StepKind) -> Option<Step> {
        let worker = self.workers.get(key)?.id;
        Some(Step { task, worker, kind })
    }
}
