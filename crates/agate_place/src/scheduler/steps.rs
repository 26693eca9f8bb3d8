//! Handles slowdown readings of urgent work and derives the steps against batch runs.

use agate_core::{Moment, TaskId};

use super::run::{Restraint, Run, THROTTLED_SHARE};
use super::{Scheduler, Step, StepKind, UrgentReading};
use crate::amount;
use crate::eviction::{Candidate, PressureLevel, choose_victim};
use crate::interference::{Band, Sample};
use crate::workers::{UrgentState, WorkerKey};

/// Share of the measured slowdown below which batch runs are left alone.
const HARMLESS_SHARE: f64 = 0.25;

/// Which runs a step applies to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Target {
    Free,
    Throttled,
}

impl Scheduler {
    /// Records a lagging reading. Updates the interference model with the batch work that ran when
    /// the reading was taken, and the pressure on the worker.
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
        if let Some(monitor) = self.monitors.get_mut(key) {
            monitor
                .pressure
                .observe(class, measured_at, slowdown, &self.policy.eviction);
            self.under_pressure.insert(key);
        }
    }

    /// Returns the steps that are due. They count as done; the caller sends them to the workers.
    pub fn steps(&mut self, now: Moment) -> Vec<Step> {
        let mut steps = Vec::new();
        let under_pressure: Vec<WorkerKey> = self.under_pressure.iter().copied().collect();
        for key in under_pressure {
            if let Some(monitor) = self.monitors.get_mut(key) {
                monitor.pressure.expire(now);
            }
            steps.extend(self.stop_overdue(now, key));
            if let Some(task) = self.next_step(now, key) {
                steps.push(task);
            }
            self.refresh_admission(key);
        }
        steps
    }

    fn next_step(&mut self, now: Moment, key: WorkerKey) -> Option<Step> {
        let level = self
            .monitors
            .get(key)?
            .pressure
            .sustained_level(&self.policy.eviction);
        match level {
            PressureLevel::Critical => self.evict(now, key).or_else(|| self.throttle(now, key)),
            PressureLevel::High => self.throttle(now, key),
            PressureLevel::Moderate => None,
            PressureLevel::Low => self.release(now, key),
        }
    }

    fn throttle(&mut self, now: Moment, key: WorkerKey) -> Option<Step> {
        let task = self.pick_victim(now, key, Target::Free)?;
        self.set_restraint(now, key, task, Restraint::Throttled);
        self.record_step(now, key);
        self.build_step(task, key, StepKind::Throttle)
    }

    fn evict(&mut self, now: Moment, key: WorkerKey) -> Option<Step> {
        if self.evicting >= self.max_evicting() {
            return None;
        }
        let task = self.pick_victim(now, key, Target::Throttled)?;
        self.set_restraint(now, key, task, Restraint::Evicting(now));
        self.evicting += 1;
        if let Some(monitor) = self.monitors.get_mut(key) {
            monitor.evicting += 1;
        }
        self.record_step(now, key);
        self.build_step(task, key, StepKind::Evict)
    }

    fn release(&mut self, now: Moment, key: WorkerKey) -> Option<Step> {
        let candidates = self.candidates(now, key, Target::Throttled);
        let least = candidates
            .iter()
            .min_by(|a, b| a.slowdown_ln.total_cmp(&b.slowdown_ln));
        let Some(task) = least.map(|s| s.task) else {
            self.untrack_if_idle(key);
            return None;
        };
        self.set_restraint(now, key, task, Restraint::Free);
        if let Some(monitor) = self.monitors.get_mut(key) {
            monitor.pressure.record_release(now);
        }
        self.build_step(task, key, StepKind::Release)
    }

    /// Stops runs whose checkpoint takes too long.
    fn stop_overdue(&mut self, now: Moment, key: WorkerKey) -> Vec<Step> {
        let limit = amount::millis(self.policy.eviction.checkpoint_ms);
        let mut due = Vec::new();
        if self
            .monitors
            .get(key)
            .is_none_or(|monitor| monitor.evicting == 0)
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
        due.extend(stops.filter_map(|task| self.build_step(task, key, StepKind::Stop)));
        due
    }

    fn pick_victim(&self, now: Moment, key: WorkerKey, target: Target) -> Option<TaskId> {
        let candidates = self.candidates(now, key, target);
        if self.are_harmless(now, key, &candidates) {
            return None;
        }
        choose_victim(&candidates, &self.policy.weights)
    }

    /// Whether the candidates are well known and together cause little of the measured slowdown.
    /// Steps against them would cost batch work without helping urgent work.
    fn are_harmless(&self, now: Moment, key: WorkerKey, candidates: &[Candidate]) -> bool {
        let Some(state) = self.worst_urgent(key) else {
            return false;
        };
        let is_known = |candidate: &Candidate| {
            let run = self.runs.get(&candidate.task);
            run.is_some_and(|r| {
                self.model
                    .has_evidence(now, state.class, state.band, r.class)
            })
        };
        let monitor = self.monitors.get(key);
        let measured_slowdown = monitor.map_or(1.0, |monitor| monitor.pressure.slowdown());
        let caused: f64 = candidates
            .iter()
            .map(|candidate| candidate.slowdown_ln)
            .sum();
        candidates.iter().all(is_known) && caused < measured_slowdown.max(1.0).ln() * HARMLESS_SHARE
    }

    fn candidates(&self, now: Moment, key: WorkerKey, target: Target) -> Vec<Candidate> {
        let worst = self.worst_urgent(key);
        let tasks = self.runs_on(key);
        let runs = tasks
            .iter()
            .filter_map(|task| self.runs.get(task).map(|run| (*task, run)));
        let wanted = runs.filter(|(_, run)| match target {
            Target::Free => run.restraint == Restraint::Free,
            Target::Throttled => run.restraint == Restraint::Throttled,
        });
        let candidate = |(task, run): (TaskId, &Run)| Candidate {
            task,
            slowdown_ln: worst.map_or(0.0, |state| {
                let of = (state.class, state.band);
                self.model.coefficient(now, of.0, of.1, run.class) * self.full_share(key, run)
            }),
            share: self.full_share(key, run),
            since_checkpoint: now.since(run.last_checkpoint),
            evictions: self.task_histories.get(&task).map_or(0, |t| t.evictions),
        };
        wanted.map(candidate).collect()
    }

    /// Returns the latest reading of the most slowed urgent class.
    fn worst_urgent(&self, key: WorkerKey) -> Option<UrgentState> {
        let class = self.monitors.get(key)?.pressure.worst()?;
        let worker = self.workers.get(key)?;
        let state = worker.urgent.iter().find(|state| state.class == class);
        state.copied()
    }

    fn full_share(&self, key: WorkerKey, run: &Run) -> f64 {
        let worker = self.workers.get(key);
        worker.map_or(0.0, |w| w.share(run.demand))
    }

    fn set_restraint(&mut self, now: Moment, key: WorkerKey, task: TaskId, to: Restraint) {
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

    fn record_step(&mut self, now: Moment, key: WorkerKey) {
        if let Some(monitor) = self.monitors.get_mut(key) {
            monitor.pressure.record_step(now, &self.policy.eviction);
        }
    }

    /// Stops tracking a worker without throttled or evicting runs.
    fn untrack_if_idle(&mut self, key: WorkerKey) {
        let is_restrained = |task: &TaskId| {
            let run = self.runs.get(task);
            run.is_some_and(|run| run.restraint != Restraint::Free)
        };
        if !self.runs_on(key).iter().any(is_restrained) {
            self.under_pressure.remove(&key);
        }
    }

    fn runs_on(&self, key: WorkerKey) -> Vec<TaskId> {
        let worker = self.workers.get(key);
        worker.map_or_else(Vec::new, |worker| worker.runs.clone())
    }

    fn build_step(&self, task: TaskId, key: WorkerKey, kind: StepKind) -> Option<Step> {
        let worker = self.workers.get(key)?.id;
        Some(Step { task, worker, kind })
    }
}
