//! What a job consists of.

use agate_core::Resources;
use serde::{Deserialize, Serialize};

/// A job as its caller submitted it.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct JobSpec {
    /// Text handed to every task.
    pub payload: String,
    /// The steps; a step refers to earlier ones by their index.
    pub steps: Vec<StepSpec>,
    /// Times at which the steps run, for jobs that repeat.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeat: Option<Repeat>,
}

/// Due times of a job that repeats.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Repeat {
    /// Due time of the first occurrence, in milliseconds since the Unix epoch.
    pub first_ms: u64,
    /// Time between two due times, in milliseconds.
    pub every_ms: u64,
    /// Number of occurrences.
    pub times: u32,
}

/// One step: a number of tasks of the same shape.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "each is a property of its own that any step may have"
)]
pub struct StepSpec {
    /// Number of tasks.
    pub tasks: u32,
    /// What each task occupies.
    pub demand: Resources,
    /// The submitter's estimate of a task's run time, in milliseconds.
    pub estimate_ms: u64,
    /// Steps whose tasks must all have finished before this step starts.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Whether a stopped task can continue from a checkpoint.
    pub checkpoints: bool,
    /// Whether the tasks run only together.
    pub gang: bool,
    /// Whether tasks run slower if the step is spread over several racks.
    pub one_rack: bool,
    /// Label that a worker must have; empty if none.
    pub label: String,
    /// Rack on which the data lies; empty if it doesn't matter.
    pub data_rack: String,
    /// Most tasks of one occurrence on one worker; zero for no limit.
    pub per_worker: u32,
    /// Whether the tasks run until the job is cancelled.
    #[serde(rename = "lasting")]
    pub long_running: bool,
    /// Name of the program that the tasks run; tasks of one image behave alike.
    pub image: String,
    /// Bound on the tail latency that a lasting task serves with, in milliseconds; zero for none.
    pub target_ms: u64,
    /// Whether the tasks use only the processor time that others leave unused.
    #[serde(rename = "fills")]
    pub best_effort: bool,
    /// How many tasks of a lasting step may be down at once because of the scheduler.
    #[serde(rename = "may_miss")]
    pub max_unavailable: u32,
}

/// What the queue of a job fixed when the job was accepted.
#[derive(Debug, Clone, PartialEq, Eq, Default, Serialize, Deserialize)]
pub struct QueuePolicy {
    /// Name of the queue.
    pub queue: String,
    /// Service whose workers run the tasks.
    pub service: String,
    /// Precedence; zero comes first.
    pub priority: u32,
    /// Failed runs after which a task is given up.
    #[serde(rename = "attempts")]
    pub max_attempts: u32,
    /// Objective for the completion time, as a multiple of the longest chain, in thousandths.
    pub stretch_milli: u64,
    /// Latency allowed on top of the stretched chain, in milliseconds.
    #[serde(rename = "aim_ms")]
    pub slack_ms: u64,
}

impl StepSpec {
    /// Image of tasks with a latency target; empty for others.
    pub fn serving_image(&self) -> String {
        if self.target_ms == 0 {
            return String::new();
        }
        self.image.clone()
    }

    /// Image of tasks that fill; empty for others.
    pub fn best_effort_image(&self) -> String {
        if !self.best_effort {
            return String::new();
        }
        self.image.clone()
    }
}

impl JobSpec {
    /// Number of occurrences: one unless the job repeats.
    pub fn occurrences(&self) -> u32 {
        self.repeat.map_or(1, |repeat| repeat.times)
    }

    /// Due time of an occurrence in milliseconds since the Unix epoch; zero if it is due at once.
    pub fn due_ms(&self, occurrence: u32) -> u64 {
        self.repeat.map_or(0, |repeat| {
            repeat
                .first_ms
                .saturating_add(repeat.every_ms.saturating_mul(u64::from(occurrence)))
        })
    }

    /// Longest chain of estimated run times, in milliseconds.
    pub fn critical_path_ms(&self) -> u64 {
        self.critical_path_over(|_| true)
    }

    /// Longest chain of estimated run times, in milliseconds, over the steps that `counts` holds for.
    pub(crate) fn critical_path_over(&self, counts: impl Fn(usize) -> bool) -> u64 {
        let mut until: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (at, step) in self.steps.iter().enumerate() {
            let ready = step.after.iter().filter_map(|at| until.get(*at as usize));
            let own = if counts(at) { step.estimate_ms } else { 0 };
            until.push(ready.max().copied().unwrap_or(0) + own);
        }
        until.into_iter().max().unwrap_or(0)
    }
}
