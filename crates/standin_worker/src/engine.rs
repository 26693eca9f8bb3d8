//! State of the worker: its tasks, usage samples and the active fault.

use std::collections::{BTreeMap, VecDeque};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::clock::boot_time;
use agate_core::{Resources, RunId};

use crate::task::{BootTime, Task};
use crate::{Fault, Payload, TaskStatus, WorkerRecord};

/// Maximum number of usage samples kept. They must cover the lag.
const MAX_SAMPLES: usize = 1_024;

/// Interval at which tasks are advanced and usage is sampled.
pub(crate) const TICK_INTERVAL: Duration = Duration::from_millis(5);

/// A sample of the usage of every open task.
#[derive(Debug, Clone)]
pub(crate) struct UsageSample {
    pub(crate) measured_at: BootTime,
    pub(crate) used: Vec<(RunId, Resources)>,
}

/// Parameters of a task to start.
#[derive(Debug)]
pub(crate) struct StartRequest {
    pub(crate) run: RunId,
    pub(crate) demand: Resources,
    pub(crate) payload: Payload,
    pub(crate) start_progress: Duration,
    pub(crate) deadline: BootTime,
}

/// State of the worker, shared by the request handlers and the ticker.
#[derive(Debug)]
pub(crate) struct Engine {
    lag: Duration,
    inner: Mutex<Inner>,
}

#[derive(Debug)]
struct Inner {
    order: Vec<RunId>,
    tasks: BTreeMap<RunId, Task>,
    samples: VecDeque<UsageSample>,
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
                samples: VecDeque::new(),
                peak: Resources::ZERO,
                fault: Fault::None,
            }),
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Starts a task, unless the run is already known. Returns the state of the task.
    pub(crate) fn start(&self, start: StartRequest) -> TaskStatus {
        let mut inner = self.lock();
        let now = boot_time();
        if let Some(task) = inner.tasks.get(&start.run) {
            return task.status();
        }
        let run = start.run;
        let mut task = Task::new(
            run,
            start.demand,
            start.payload,
            start.start_progress,
            start.deadline,
        );
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
        inner.update_peak();
        status
    }

    /// Applies `change` to a task and returns its new state; `None` if the run is unknown.
    pub(crate) fn update(
        &self,
        run: RunId,
        change: impl FnOnce(&mut Task, BootTime),
    ) -> Option<TaskStatus> {
        let mut inner = self.lock();
        let now = boot_time();
        let task = inner.tasks.get_mut(&run)?;
        change(task, now);
        task.advance(now);
        Some(task.status())
    }

    /// Stops a task. An unknown run gets a tombstone, so that it never starts later.
    pub(crate) fn stop(&self, run: RunId) -> TaskStatus {
        let stopped = self.update(run, |task, now| {
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

    /// Returns the time that a checkpoint of the run takes; `None` if the run is unknown.
    pub(crate) fn checkpoint_time(&self, run: RunId) -> Option<Duration> {
        let inner = self.lock();
        let task = inner.tasks.get(&run)?;
        Some(Duration::from_millis(task.payload.checkpoint_ms))
    }

    /// Returns the runs that have not ended.
    pub(crate) fn list_open(&self) -> Vec<RunId> {
        let inner = self.lock();
        let tasks = inner.tasks.values();
        tasks
            .filter(|task| !task.status().is_over())
            .map(|task| task.run)
            .collect()
    }

    /// Returns the newest usage sample that is at least as old as the lag.
    pub(crate) fn usage(&self) -> Option<UsageSample> {
        let inner = self.lock();
        let newest = boot_time().saturating_sub(self.lag);
        let mut samples = inner.samples.iter().rev();
        samples.find(|r| r.measured_at <= newest).cloned()
    }

    pub(crate) fn set_fault(&self, fault: Fault) {
        let mut inner = self.lock();
        inner.fault = fault;
        if fault == Fault::Restarted {
            inner.tasks.clear();
            inner.order.clear();
        }
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

    /// Advances every task to the present and takes a usage sample.
    pub(crate) fn tick(&self) {
        let mut inner = self.lock();
        let now = boot_time();
        for task in inner.tasks.values_mut() {
            task.advance(now);
        }
        let open = inner.tasks.values().filter(|task| !task.status().is_over());
        let sample = UsageSample {
            measured_at: now,
            used: open.map(|task| (task.run, task.current_usage())).collect(),
        };
        if inner.samples.len() == MAX_SAMPLES {
            inner.samples.pop_front();
        }
        inner.samples.push_back(sample);
    }
}

impl Inner {
    fn update_peak(&mut self) {
        let open = self.tasks.values().filter(|task| !task.status().is_over());
        let held = open.fold(Resources::ZERO, |sum, task| sum + task.demand);
        self.peak = self.peak.max(held);
    }
}
