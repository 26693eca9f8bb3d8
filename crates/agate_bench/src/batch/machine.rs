//! Simulated machines.

use std::collections::{BTreeMap, VecDeque};

use agate_core::{Resources, TaskId};

use super::ground_truth::{BatchClass, UrgentClass, slowdown};
use super::scenario::{MACHINE_CAPACITY, Task, round_u32, urgent_class_of, urgent_load};

/// Age of a sample when the placer receives it, in seconds.
pub(super) const SAMPLE_LAG_SECS: u64 = 5;

/// Share of its processors left to a throttled run.
const THROTTLED_SHARE: f64 = 0.3;

/// Duration of a checkpoint in seconds.
const CHECKPOINT_SECS: u64 = 4;

/// Share of a run after which its memory has reached its full size.
const MEMORY_RAMP_SHARE: f64 = 0.4;

/// State of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RunState {
    Running,
    Throttled,
    /// Writes a checkpoint that is complete at this second.
    Evicting(u64),
}

#[derive(Debug)]
struct Run {
    task: Task,
    reserved: Resources,
    state: RunState,
    /// Work done, in seconds of run time with all the processors it needs.
    done_secs: f64,
}

/// A run that ended on a machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct EndedRun {
    pub(super) task: TaskId,
    pub(super) cause: EndCause,
    pub(super) peak: Resources,
}

/// Cause of the end of a run.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum EndCause {
    Finished,
    /// It exceeded its reserved memory.
    Killed,
    /// It was evicted after a checkpoint.
    Evicted {
        done_secs: f64,
    },
}

/// Slowdown and load of urgent work at one time.
#[derive(Debug, Clone, Copy)]
pub(super) struct Sample {
    pub(super) slowdown: f64,
    pub(super) load: f64,
}

/// A simulated machine.
#[derive(Debug)]
pub(super) struct Machine {
    id: u64,
    runs: BTreeMap<TaskId, Run>,
    delayed: VecDeque<Sample>,
}

impl Machine {
    pub(super) fn new(id: u64) -> Self {
        Self {
            id,
            runs: BTreeMap::new(),
            delayed: VecDeque::new(),
        }
    }

    pub(super) fn urgent_class(&self) -> UrgentClass {
        urgent_class_of(self.id)
    }

    pub(super) fn reserved(&self) -> Resources {
        let reserved = self.runs.values().map(|run| run.reserved);
        reserved.fold(Resources::ZERO, |sum, reserved| sum + reserved)
    }

    /// Starts a run. Returns false if the reserved resources then exceed the machine's capacity.
    pub(super) fn start(
        &mut self,
        id: TaskId,
        task: Task,
        reserved: Resources,
        done_secs: f64,
    ) -> bool {
        let run = Run {
            task,
            reserved,
            state: RunState::Running,
            done_secs,
        };
        self.runs.insert(id, run);
        self.reserved().fits_in(MACHINE_CAPACITY)
    }

    pub(super) fn set_state(&mut self, id: TaskId, state: RunState) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.state = state;
        }
    }

    pub(super) fn evict(&mut self, id: TaskId, now: u64) {
        self.set_state(id, RunState::Evicting(now + CHECKPOINT_SECS));
    }

    /// Advances by one second and returns the runs that end in it.
    pub(super) fn step(&mut self, now: u64) -> Vec<EndedRun> {
        let mut ended_runs = Vec::new();
        for (&task, run) in &mut self.runs {
            run.done_secs += run.rate();
            if let Some(cause) = run.end_cause(now) {
                let peak = run.peak();
                ended_runs.push(EndedRun { task, cause, peak });
            }
        }
        for ended_run in &ended_runs {
            self.runs.remove(&ended_run.task);
        }
        ended_runs
    }

    /// Samples the urgent work now.
    pub(super) fn sample(&mut self, now: u64) -> Sample {
        let mut shares: BTreeMap<BatchClass, f64> = BTreeMap::new();
        for run in self.runs.values() {
            let used = run.task.millicores * run.rate();
            *shares.entry(run.task.class).or_default() +=
                used / f64::from(MACHINE_CAPACITY.millicores);
        }
        let shares: Vec<(BatchClass, f64)> = shares.into_iter().collect();
        let load = urgent_load(self.id, now);
        let slowdown = slowdown(self.urgent_class(), load, &shares);
        let sample = Sample { slowdown, load };
        self.delayed.push_back(sample);
        sample
    }

    /// Returns the sample that arrives now, taken [`SAMPLE_LAG_SECS`] ago.
    pub(super) fn delayed_sample(&mut self) -> Option<Sample> {
        if self.delayed.len() as u64 <= SAMPLE_LAG_SECS {
            return None;
        }
        self.delayed.pop_front()
    }
}

impl Run {
    /// Returns the work done per second, relative to a run with all the processors it needs.
    fn rate(&self) -> f64 {
        let share = (f64::from(self.reserved.millicores) / self.task.millicores).min(1.0);
        match self.state {
            RunState::Running => share,
            RunState::Throttled | RunState::Evicting(_) => share * THROTTLED_SHARE,
        }
    }

    fn memory_used_mib(&self) -> f64 {
        let ramp = (self.done_secs / (self.task.secs * MEMORY_RAMP_SHARE)).min(1.0);
        self.task.memory_mib * ramp
    }

    fn end_cause(&self, now: u64) -> Option<EndCause> {
        if self.memory_used_mib() > f64::from(self.reserved.memory_mib) {
            return Some(EndCause::Killed);
        }
        if self.done_secs >= self.task.secs {
            return Some(EndCause::Finished);
        }
        match self.state {
            RunState::Evicting(at) if now >= at => Some(EndCause::Evicted {
                done_secs: self.done_secs,
            }),
            _ => None,
        }
    }

    fn peak(&self) -> Resources {
        let millicores = self
            .task
            .millicores
            .min(f64::from(self.reserved.millicores));
        let memory = self
            .memory_used_mib()
            .min(f64::from(self.reserved.memory_mib));
        Resources::new(round_u32(millicores), round_u32(memory), 0)
    }
}
