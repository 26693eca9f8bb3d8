//! Job specifications.

use std::ops::Add;

use agate_core::Resources;
use serde::{Deserialize, Serialize};

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text passed to every task.
    pub payload: String,
    /// The steps. A step depends on earlier steps by index.
    pub steps: Vec<StepSpec>,
    /// Schedule of a repeating job.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// Schedule of a repeating job.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Interval between occurrences, in milliseconds.
    pub every_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// A step: a number of identical tasks.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each flag is an independent property of a step"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// Resources that each task occupies.
    pub demand: Resources,
    /// The submitter's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Indices of the steps that must finish before this step starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether a stopped task can resume from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks are scheduled as a gang: all at once or not at all.
    pub gang: bool,
    /// Whether the tasks should share a rack because they run slower across racks.
    pub one_rack: bool,
    /// Label that a worker must have; empty if any worker will do.
    pub label: String,
    /// Rack that holds the step's data; empty for no preference.
    pub data_rack: String,
    /// Maximum number of tasks per worker and occurrence; zero for no limit.
    pub per_worker: u32,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Name of the program that the tasks run. Tasks of the same image behave alike.
    pub image: String,
    /// Target for the tail latency of a long-running task, in milliseconds; zero if it has none.
    pub target_ms: u64,
    /// Whether the tasks use only processor time that other tasks leave unused.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// Maximum number of tasks of a long-running step that the scheduler may take down at once.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

/// Settings that a job inherits from its queue when it is accepted.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Priority; zero is the highest.
    pub priority: u32,
    /// Number of failed runs after which a task is given up.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Objective for the completion time as a multiple of the critical path, in thousandths.
    pub stretch_milli: u64,
    /// Constant part of the objective, added to the stretched critical path, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub slack_ms: u64,
}

impl StepSpec {
    /// Returns the image of tasks with a latency target; empty for other tasks.
    pub fn serving_image(&self) -> String {
        if self.target_ms == 0 {
            return String::new();
        }
        self.image.clone()
    }

    /// Returns the image of best-effort tasks; empty for other tasks.
    pub fn best_effort_image(&self) -> String {
        if !self.best_effort {
            return String::new();
        }
        self.image.clone()
    }
}

impl JobSpec {
    /// Returns the number of occurrences: one unless the job repeats.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times)
    }

    /// Returns the due time of an occurrence in milliseconds since the Unix epoch; zero if it is
    /// due immediately.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.repeat.map_or(0, |repeat| {
            repeat
                .first_ms
                .saturating_add(repeat.every_ms.saturating_mul(u64::from(occurrence)))
        })
    }

    /// Returns the critical path, in milliseconds of estimated run time.
    pub fn critical_path_ms(&self) -> u64 {
        self.critical_path_over(|_| true)
    }

    /// Returns the critical path over the steps that `counts` selects, in milliseconds of estimated
    /// run time.
    pub(crate) fn critical_path_over(&self, counts: impl Fn(usize) -> bool) -> u64 {
        let estimate_ms = |at: usize| self.steps[at].estimate_ms;
        self.longest_path(0, |at| if counts(at) { estimate_ms(at) } else { 0 })
    }

    /// Returns the length of the longest path through the steps.
    pub(crate) fn longest_path<T>(&self, zero: T, length: impl Fn(usize) -> T) -> T
    where
        T: Copy + PartialOrd + Add<Output = T>,
    {
        let longer = |a: T, b: T| if b > a { b } else { a };
        let mut finish: Vec<T> = Vec::with_capacity(self.steps.len());
        for (at, step) in self.steps.iter().enumerate() {
            let after = step.after.iter();
            let ready = after.filter_map(|at| finish.get(*at as usize)).copied();
            finish.push(ready.fold(zero, longer) + length(at));
        }
        finish.into_iter().fold(zero, longer)
    }
}
