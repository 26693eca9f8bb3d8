//! Progress of one task under its lease.

use std::time::Duration;

use agate_core::{Resources, RunId};

use super::{Payload, TaskStatus};
use crate::{Interval, RanTask};

/// Speed of a throttled task as a percentage of full speed.
const THROTTLED_PERCENT: u32 = 25;

/// Progress after which a task that uses more memory than its demand is killed.
const MEMORY_KILL_DELAY: Duration = Duration::from_millis(20);

/// Speed of a task.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Speed {
    Full,
    Throttled,
}

/// Whether a task is being checkpointed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckpointPhase {
    Idle,
    InProgress,
}

/// A time on the boot clock.
pub(crate) type BootTime = Duration;

/// A task, its progress and the intervals in which it ran.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) run: RunId,
    pub(crate) demand: Resources,
    pub(crate) payload: Payload,
    pub(crate) deadline: BootTime,
    pub(crate) speed: Speed,
    checkpoint_phase: CheckpointPhase,
    start_progress: Duration,
    progress: Duration,
    last_update: BootTime,
    intervals: Vec<Interval>,
    status: TaskStatus,
}

impl Task {
    pub(crate) fn new(
        run: RunId,
        demand: Resources,
        payload: Payload,
        start_progress: Duration,
        deadline: BootTime,
    ) -> Self {
        Self {
            run,
            demand,
            payload,
            deadline,
            speed: Speed::Full,
            checkpoint_phase: CheckpointPhase::Idle,
            start_progress,
            progress: start_progress,
            last_update: Duration::ZERO,
            intervals: Vec::new(),
            status: TaskStatus::Paused,
        }
    }

    /// Returns a tombstone for a run that was stopped before it was started, so that a late start
    /// has no effect.
    pub(crate) fn tombstone(run: RunId) -> Self {
        let mut task = Self::new(
            run,
            Resources::ZERO,
            Payload::default(),
            Duration::ZERO,
            Duration::ZERO,
        );
        task.status = TaskStatus::Stopped;
        task
    }

    pub(crate) fn status(&self) -> TaskStatus {
        self.status.clone()
    }

    /// Advances the task to `now`: adds the work done, ends it, pauses it when its lease expires,
    /// or resumes it.
    pub(crate) fn advance(&mut self, now: BootTime) {
        if self.status == TaskStatus::Running {
            // Work stops at the lease deadline, even if a later tick detects it.
            let worked = now.min(self.deadline).saturating_sub(self.last_update);
            self.progress += match self.speed {
                Speed::Full => worked,
                Speed::Throttled => worked * THROTTLED_PERCENT / 100,
            };
            self.end_if_done(now);
        }
        if self.status == TaskStatus::Running && now >= self.deadline {
            self.pause(self.deadline);
        }
        if self.status == TaskStatus::Paused
            && self.checkpoint_phase == CheckpointPhase::Idle
            && now < self.deadline
        {
            self.status = TaskStatus::Running;
            self.intervals.push(Interval {
                start_us: micros(now),
                end_us: None,
            });
        }
        self.last_update = now;
    }

    /// Pauses the task for a checkpoint.
    pub(crate) fn begin_checkpoint(&mut self, now: BootTime) {
        self.advance(now);
        if self.status == TaskStatus::Running {
            self.pause(now);
        }
        self.checkpoint_phase = CheckpointPhase::InProgress;
    }

    /// Ends the task with a checkpoint.
    pub(crate) fn finish_checkpoint(&mut self, now: BootTime) {
        let checkpoint = format!("at-{}", micros(self.progress));
        self.end(now, TaskStatus::Checkpointed { checkpoint });
    }

    /// Ends the task with `status`, unless it is already over.
    pub(crate) fn end(&mut self, now: BootTime, status: TaskStatus) {
        if self.status.is_over() {
            return;
        }
        if self.status == TaskStatus::Running {
            self.pause(now.min(self.deadline));
        }
        self.status = status;
    }

    /// Returns the current resource usage of the task.
    pub(crate) fn current_usage(&self) -> Resources {
        let millicores = match self.status {
            TaskStatus::Running => self.payload.millicores.unwrap_or(self.demand.millicores),
            _ => 0,
        };
        Resources {
            millicores,
            memory_mib: self.used_memory_mib(),
            accelerators: self.demand.accelerators,
        }
    }

    pub(crate) fn record(&self) -> RanTask {
        RanTask {
            run: self.run.to_string(),
            from_us: micros(self.start_progress),
            progress_us: micros(self.progress),
            intervals: self.intervals.clone(),
            status: self.status.clone(),
        }
    }

    fn used_memory_mib(&self) -> u32 {
        self.payload.memory_mib.unwrap_or(self.demand.memory_mib)
    }

    fn end_if_done(&mut self, now: BootTime) {
        let duration = Duration::from_millis(self.payload.duration_ms);
        let killed = self.used_memory_mib() > self.demand.memory_mib;
        if killed && self.progress >= self.start_progress + MEMORY_KILL_DELAY {
            let reason = format!("killed: it uses {} MiB", self.used_memory_mib());
            self.end(
                now,
                TaskStatus::Failed {
                    reason,
                    exhausted: true,
                },
            );
        } else if self.progress >= duration {
            self.progress = duration;
            let status = if self.payload.fails {
                TaskStatus::Failed {
                    reason: "the task failed".to_owned(),
                    exhausted: false,
                }
            } else {
                TaskStatus::Finished
            };
            self.end(now, status);
        }
    }

    fn pause(&mut self, at: BootTime) {
        self.status = TaskStatus::Paused;
        if let Some(interval) = self.intervals.last_mut() {
            interval.end_us = Some(micros(at));
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
