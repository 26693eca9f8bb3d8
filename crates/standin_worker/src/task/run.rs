//! Progress of one task.

use std::time::Duration;

use agate_core::{Resources, RunId};

use super::{Payload, TaskStatus};
use crate::{Interval, RanTask};

/// Share of full speed at which a throttled task goes, in percent.
const THROTTLED_PERCENT: u32 = 25;

/// Work after which a task that uses more memory than was set aside is killed.
const KILL_AFTER: Duration = Duration::from_millis(20);

/// How fast a task goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Speed {
    Full,
    Throttled,
}

/// Whether a task is being checkpointed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Hold {
    Free,
    Checkpoint,
}

/// A reading of the boot clock.
pub(crate) type Clocked = Duration;

/// One task and its record.
#[derive(Debug)]
pub(crate) struct Task {
    pub(crate) run: RunId,
    pub(crate) demand: Resources,
    pub(crate) payload: Payload,
    pub(crate) deadline: Clocked,
    pub(crate) speed: Speed,
    hold: Hold,
    from: Duration,
    progress: Duration,
    looked: Clocked,
    intervals: Vec<Interval>,
    status: TaskStatus,
}

impl Task {
    pub(crate) fn new(
        run: RunId,
        demand: Resources,
        payload: Payload,
        from: Duration,
        deadline: Clocked,
    ) -> Self {
        Self {
            run,
            demand,
            payload,
            deadline,
            speed: Speed::Full,
            hold: Hold::Free,
            from,
            progress: from,
            looked: Duration::ZERO,
            intervals: Vec::new(),
            status: TaskStatus::Paused,
        }
    }

    /// A task that was stopped before it was started; a start that comes late finds it.
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

    /// Brings the task up to `now`: work done since the last look, lease, end.
    pub(crate) fn advance(&mut self, now: Clocked) {
        if self.status == TaskStatus::Running {
            // Work stops at the lease's deadline even if it is noticed later.
            let worked = now.min(self.deadline).saturating_sub(self.looked);
            self.progress += match self.speed {
                Speed::Full => worked,
                Speed::Throttled => worked * THROTTLED_PERCENT / 100,
            };
            self.check_end(now);
        }
        if self.status == TaskStatus::Running && now >= self.deadline {
            self.pause(self.deadline);
        }
        if self.status == TaskStatus::Paused && self.hold == Hold::Free && now < self.deadline {
            self.status = TaskStatus::Running;
            self.intervals.push(Interval {
                start_us: micros(now),
                end_us: None,
            });
        }
        self.looked = now;
    }

    /// Stops work for a checkpoint.
    pub(crate) fn hold(&mut self, now: Clocked) {
        self.advance(now);
        if self.status == TaskStatus::Running {
            self.pause(now);
        }
        self.hold = Hold::Checkpoint;
    }

    /// Ends the task with a checkpoint.
    pub(crate) fn checkpoint(&mut self, now: Clocked) {
        let checkpoint = format!("at-{}", micros(self.progress));
        self.end(now, TaskStatus::Checkpointed { checkpoint });
    }

    /// Ends the task, unless it is over.
    pub(crate) fn end(&mut self, now: Clocked, status: TaskStatus) {
        if self.status.is_over() {
            return;
        }
        if self.status == TaskStatus::Running {
            self.pause(now.min(self.deadline));
        }
        self.status = status;
    }

    /// What the task uses now.
    pub(crate) fn used(&self) -> Resources {
        let millicores = match self.status {
            TaskStatus::Running => self.payload.millicores.unwrap_or(self.demand.millicores),
            _ => 0,
        };
        Resources {
            millicores,
            memory_mib: self.memory(),
            accelerators: self.demand.accelerators,
        }
    }

    pub(crate) fn record(&self) -> RanTask {
        RanTask {
            run: self.run.to_string(),
            from_us: micros(self.from),
            progress_us: micros(self.progress),
            intervals: self.intervals.clone(),
            status: self.status.clone(),
        }
    }

    fn memory(&self) -> u32 {
        self.payload.memory_mib.unwrap_or(self.demand.memory_mib)
    }

    fn check_end(&mut self, now: Clocked) {
        let duration = Duration::from_millis(self.payload.duration_ms);
        let killed = self.memory() > self.demand.memory_mib;
        if killed && self.progress >= self.from + KILL_AFTER {
            let reason = format!("killed: it uses {} MiB", self.memory());
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

    fn pause(&mut self, at: Clocked) {
        self.status = TaskStatus::Paused;
        if let Some(interval) = self.intervals.last_mut() {
            interval.end_us = Some(micros(at));
        }
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
