//! Per-worker state that decides whether a worker takes new tasks.

use agate_core::{Moment, TaskId};

use super::Scheduler;
use crate::amount;
use crate::blame::Trust;
use crate::eviction::Pressure;
use crate::workers::{Admission, WorkerKey};

/// Monitored state of one worker.
#[derive(Debug)]
pub(super) struct Monitor {
    pub(super) pressure: Pressure,
    /// The run that tests a worker on probation or in quarantine.
    pub(super) trial: Option<TaskId>,
    /// Number of runs being evicted.
    pub(super) evicting: u32,
    pub(super) leaving: bool,
    /// Whether a quarantined worker is due for a probe.
    pub(super) probe_due: bool,
}

impl Monitor {
    pub(super) fn new() -> Self {
        Self {
            pressure: Pressure::new(),
            trial: None,
            evicting: 0,
            leaving: false,
            probe_due: false,
        }
    }
}

impl Scheduler {
    /// Recomputes whether a worker takes new tasks.
    pub(super) fn refresh_admission(&mut self, key: WorkerKey) {
        let admission = self.admission(key);
        self.workers.set_admission(key, admission);
    }

    pub(super) fn is_open(&self, key: WorkerKey) -> bool {
        self.admission(key) == Admission::Open
    }

    fn admission(&self, key: WorkerKey) -> Admission {
        let Some(monitor) = self.monitors.get(key) else {
            return Admission::Closed;
        };
        if monitor.leaving {
            return Admission::Leaving;
        }
        if self.reservations.iter().any(|r| r.worker == key) {
            return Admission::Reserved;
        }
        let is_trusted = match self.failure_tracker.trust(key) {
            Trust::Full => true,
            Trust::Probation => monitor.trial.is_none(),
            Trust::Quarantined { .. } => monitor.probe_due && monitor.trial.is_none(),
        };
        if is_trusted && !self.is_under_pressure(key) {
            Admission::Open
        } else {
            Admission::Closed
        }
    }

    /// Whether urgent work on a worker is slowed, or the effect of the last step is still unknown.
    /// Does not count a worker whose throttled runs keep the slowdown below the threshold.
    fn is_under_pressure(&self, key: WorkerKey) -> bool {
        let monitor = self.monitors.get(key);
        monitor.is_some_and(|monitor| monitor.evicting > 0 || monitor.pressure.is_under_pressure())
    }

    /// Makes a run the trial of its worker if the worker is not fully trusted.
    pub(super) fn start_trial(&mut self, now: Moment, key: WorkerKey, task: TaskId) {
        if self.failure_tracker.trust(key) == Trust::Full {
            return;
        }
        if let Some(monitor) = self.monitors.get_mut(key) {
            monitor.trial = Some(task);
            let probe_time = amount::millis(self.policy.placement.probe_ms);
            self.trial_times.insert((now + probe_time, key, task));
        }
    }

    /// Lets workers take another run beside a trial that has run for as long as a worker in quarantine waits
    /// for its first probe. Others would wait beside room for as long as the trial runs. If the trial is a
    /// probe, the other run is one, too.
    pub(super) fn end_due_trials(&mut self, now: Moment) {
        while let Some(&(at, key, task)) = self.trial_times.first() {
            if at > now {
                break;
            }
            self.trial_times.pop_first();
            self.end_trial(key, task);
            self.refresh_admission(key);
        }
    }

    pub(super) fn end_trial(&mut self, key: WorkerKey, task: TaskId) {
        if let Some(monitor) = self.monitors.get_mut(key)
            && monitor.trial == Some(task)
        {
            monitor.trial = None;
        }
    }

    /// Applies the current trust in a worker: opens or closes it, and schedules its next probe.
    pub(super) fn refresh_trust(&mut self, key: WorkerKey) {
        if let Trust::Quarantined { probe_at } = self.failure_tracker.trust(key) {
            if let Some(monitor) = self.monitors.get_mut(key) {
                monitor.probe_due = false;
            }
            self.probe_times.insert((probe_at, key));
        }
        self.refresh_admission(key);
    }

    /// Opens quarantined workers that are due for a probe.
    pub(super) fn open_due_probes(&mut self, now: Moment) {
        while let Some(&(at, key)) = self.probe_times.first() {
            if at > now {
                break;
            }
            self.probe_times.pop_first();
            if let Some(monitor) = self.monitors.get_mut(key) {
                monitor.probe_due = true;
                self.refresh_admission(key);
            }
        }
    }
}
