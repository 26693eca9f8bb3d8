//! What is watched on one worker, and whether it takes new tasks.

use agate_core::{Moment, TaskId};

use super::Scheduler;
use crate::blame::Trust;
use crate::eviction::Pressure;
use crate::workers::{Admission, WorkerKey};

/// What is watched on one worker.
#[derive(Debug)]
pub(super) struct Watch {
    pub(super) pressure: Pressure,
    /// The run by which a distrusted worker is tried.
    pub(super) trial: Option<TaskId>,
    /// Runs that are being evicted.
    pub(super) evicting: u32,
    pub(super) leaving: bool,
    /// Whether the time for a probe has come.
    pub(super) probing: bool,
}

impl Watch {
    pub(super) fn new() -> Self {
        Self {
            pressure: Pressure::new(),
            trial: None,
            evicting: 0,
            leaving: false,
            probing: false,
        }
    }
}

impl Scheduler {
    /// Works out anew whether a worker takes new tasks.
    pub(super) fn refresh_admission(&mut self, key: WorkerKey) {
        let admission = self.admission(key);
        self.workers.set_admission(key, admission);
    }

    pub(super) fn is_open(&self, key: WorkerKey) -> bool {
        self.admission(key) == Admission::Open
    }

    fn admission(&self, key: WorkerKey) -> Admission {
        let Some(watch) = self.watches.get(key) else {
            return Admission::Closed;
        };
        if watch.leaving {
            return Admission::Leaving;
        }
        if self.reservations.iter().any(|r| r.worker == key) {
            return Admission::Reserved;
        }
        let is_trusted = match self.failure_tracker.trust(key) {
            Trust::Full => true,
            Trust::Probation => watch.trial.is_none(),
            Trust::Quarantined { .. } => watch.probing && watch.trial.is_none(),
        };
        if is_trusted && !self.is_strained(key) {
            Admission::Open
        } else {
            Admission::Closed
        }
    }

    /// Whether urgent work on a worker is slowed, or the effect of the last step is not known yet. A
    /// worker whose throttled runs keep it below the threshold is not strained.
    fn is_strained(&self, key: WorkerKey) -> bool {
        let watch = self.watches.get(key);
        watch.is_some_and(|watch| watch.evicting > 0 || watch.pressure.is_strained())
    }

    /// Makes a run the trial of its worker if the worker is distrusted.
    pub(super) fn start_trial(&mut self, key: WorkerKey, task: TaskId) {
        if self.failure_tracker.trust(key) == Trust::Full {
            return;
        }
        if let Some(watch) = self.watches.get_mut(key) {
            watch.trial = Some(task);
        }
    }

    pub(super) fn end_trial(&mut self, key: WorkerKey, task: TaskId) {
        if let Some(watch) = self.watches.get_mut(key)
            && watch.trial == Some(task)
        {
            watch.trial = None;
        }
    }

    /// Notes a verdict on a worker: opens or closes it, and sets the time of its next probe.
    pub(super) fn refresh_trust(&mut self, key: WorkerKey) {
        if let Trust::Quarantined { probe_at } = self.failure_tracker.trust(key) {
            if let Some(watch) = self.watches.get_mut(key) {
                watch.probing = false;
            }
            self.probes.insert((probe_at, key));
        }
        self.refresh_admission(key);
    }

    /// Opens quarantined workers whose probe is due.
    pub(super) fn open_probes(&mut self, now: Moment) {
        while let Some(&(at, key)) = self.probes.first() {
            if at > now {
                break;
            }
            self.probes.pop_first();
            if let Some(watch) = self.watches.get_mut(key) {
                watch.probing = true;
                self.refresh_admission(key);
            }
        }
    }
}
