//! The worker: its tasks, its lagging usage and the fault in force.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::clock::boot_time;
use agate_core::{Resources, RunId};

use crate::task::{Clocked, Task};
use crate::{Fault, Payload, TaskStatus, WorkerRecord};

/// Readings kept; the lag can be as long as they reach back.
const MAX_READINGS: usize = 1_024;

/// Time between two looks at the tasks.
pub(crate) const TICK: Duration = Duration::from_millis(5);

/// What every task used at one time.
#[derive(Debug, Clone)]
pub(crate) struct Reading {
    pub(crate) measured: Clocked,
    pub(crate) used: Vec<(RunId, Resources)>,
}

/// A task to start.
#[derive(Debug)]
pub(crate) struct Start {
    pub(crate) run: RunId,
    pub(crate) demand: Resources,
    pub(crate) payload: Payload,
    pub(crate) from: Duration,
    pub(crate) deadline: Clocked,
}

/// The worker.
#[derive(Debug)]
pub(crate) struct Engine {
    lag: Duration,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    order: Vec<RunId>,
    tasks: BTreeMap<RunId, Task>,
    readings: VecDeque<Reading>,
    peak: Resources,
    fault: Fault,
}

impl Engine {
    pub(crate) const fn new(lag: Duration) -> Self {
        Self {
            lag,
            inner: Mutex::new(Inner {
                order: Vec::new(),
                tasks: BTreeMap::new(),
                readings: VecDeque::new(),
                peak: Resources::ZERO,
                fault: Fault::None,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a task, unless the run is known.
    pub(crate) fn start(&self, start: Start) -> TaskStatus {
        let mut inner = self.lock();
        let now = boot_time();
        if let Some(task) = inner.tasks.get(&start.run) {
            return task.status();
        }
        let run = start.run;
        let mut task = Task::new(run, start.demand, start.payload, start.from, start.deadline);
        task.advance(now);
        if inner.fault == Fault::FailEverything {
            let reason = "the worker is broken".to_owned();
            task.end(
                now,
                TaskStatus::Failed {
                    reason,
                    exhausted: false,
                },
            );
        }
        let status = task.status();
        inner.order.push(run);
        inner.tasks.insert(run, task);
        inner.note_peak();
        status
    }

    /// Changes a task and tells its state afterwards; none if the run is not known.
    pub(crate) fn change(
        &self,
        run: RunId,
        change: impl FnOnce(&mut Task, Clocked),
    ) -> Option<TaskStatus> {
        let mut inner = self.lock();
        let now = boot_time();
        let task = inner.tasks.get_mut(&run)?;
        change(task, now);
        task.advance(now);
        Some(task.status())
    }

    /// Stops a task; an unknown run never starts after that.
    pub(crate) fn stop(&self, run: RunId) -> TaskStatus {
        let stopped = self.change(run, |task, now| {
            task.advance(now);
            task.end(now, TaskStatus::Stopped);
        });
        if let Some(status) = stopped {
            return status;
        }
        let task = Task::tombstone(run);
        let status = task.status();
        self.lock().tasks.insert(run, task);
        status
    }

    /// Time that a checkpoint of the run takes; none if the run is not known.
    pub(crate) fn checkpoint_time(&self, run: RunId) -> Option<Duration> {
        let inner = self.lock();
        let task = inner.tasks.get(&run)?;
        Some(Duration::from_millis(task.payload.checkpoint_ms))
    }

    /// Runs that are not over.
    pub(crate) fn open(&self) -> Vec<RunId> {
        let inner = self.lock();
        let tasks = inner.tasks.values();
        tasks
            .filter(|task| !task.status().is_over())
            .map(|task| task.run)
            .collect()
    }

    /// The newest reading that is at least as old as the lag.
    pub(crate) fn usage(&self) -> Option<Reading> {
        let inner = self.lock();
        let newest = boot_time().saturating_sub(self.lag);
        let mut readings = inner.readings.iter().rev();
        readings.find(|r| r.measured <= newest).cloned()
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        self.lock().fault = fault;
    }

    pub(crate) fn fault(&self) -> Fault {
        self.lock().fault
    }

    pub(crate) fn ran(&self) -> WorkerRecord {
        let inner = self.lock();
        let tasks = inner.order.iter().filter_map(|run| inner.tasks.get(run));
        WorkerRecord {
            tasks: tasks.map(Task::record).collect(),
            peak_millicores: inner.peak.millicores,
            peak_memory: inner.peak.memory_mib,
        }
    }

    /// Brings every task up to now and takes a reading.
    pub(crate) fn tick(&self) {
        let mut inner = self.lock();
        let now = boot_time();
        for task in inner.tasks.values_mut() {
            task.advance(now);
        }
        let open = inner.tasks.values().filter(|task| !task.status().is_over());
        let reading = Reading {
            measured: now,
            used: open.map(|task| (task.run, task.used())).collect(),
        };
        if inner.readings.len() == MAX_READINGS {
            inner.readings.pop_front();
        }
        inner.readings.push_back(reading);
    }
}

impl Inner {
    fn note_peak(&mut self) {
        let open = self.tasks.values().filter(|task| !task.status().is_over());
        let held = open.fold(Resources::ZERO, |sum, task| sum + task.demand);
        self.peak = self.peak.max(held);
    }
}
