//! A fake of one machine.

use std::collections::{BTreeMap, VecDeque};

use agate_core::{Resources, TaskId};

use super::ground_truth::{Batch, Urgent, slowdown};
use super::scenario::{CAPACITY, Task, load_of, urgent_of, whole};

/// Age of a reading when it arrives, in seconds.
pub(super) const LAG_SECS: u64 = 5;

/// Share of its processors that a throttled run gets.
const THROTTLED: f64 = 0.3;

/// Seconds that a checkpoint takes.
const CHECKPOINT_SECS: u64 = 4;

/// Share of a run after which it has reached its full memory.
const GROWN: f64 = 0.4;

/// How a run stands.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum State {
    Running,
    Throttled,
    /// Ends with a checkpoint at this second.
    Leaving(u64),
}

#[derive(Debug)]
struct Run {
    task: Task,
    given: Resources,
    state: State,
    /// Seconds of work done, of the task's whole length.
    done: f64,
}

/// How a run ended on the machine.
#[derive(Debug, Clone, Copy)]
pub(super) struct Ending {
    pub(super) task: TaskId,
    pub(super) how: How,
    pub(super) peak: Resources,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq)]
pub(super) enum How {
    Finished,
    /// It outgrew its memory.
    Killed,
    /// It was checkpointed with this much work done.
    Evicted {
        done: f64,
    },
}

/// A reading of urgent work, as it was when it was taken.
#[derive(Debug, Clone, Copy)]
pub(super) struct Reading {
    pub(super) slowdown: f64,
    pub(super) load: f64,
}

/// One machine.
#[derive(Debug)]
pub(super) struct Machine {
    id: u64,
    runs: BTreeMap<TaskId, Run>,
    late: VecDeque<Reading>,
}

impl Machine {
    pub(super) fn new(id: u64) -> Self {
        Self {
            id,
            runs: BTreeMap::new(),
            late: VecDeque::new(),
        }
    }

    pub(super) fn urgent(&self) -> Urgent {
        urgent_of(self.id)
    }

    pub(super) fn held(&self) -> Resources {
        let given = self.runs.values().map(|run| run.given);
        given.fold(Resources::ZERO, |sum, given| sum + given)
    }

    /// Starts a run. Answers false if what is set aside then passes the machine's capacity.
    pub(super) fn start(&mut self, id: TaskId, task: Task, given: Resources, done: f64) -> bool {
        let run = Run {
            task,
            given,
            state: State::Running,
            done,
        };
        self.runs.insert(id, run);
        self.held().fits_in(CAPACITY)
    }

    pub(super) fn set_state(&mut self, id: TaskId, state: State) {
        if let Some(run) = self.runs.get_mut(&id) {
            run.state = state;
        }
    }

    pub(super) fn evict(&mut self, id: TaskId, now: u64) {
        self.set_state(id, State::Leaving(now + CHECKPOINT_SECS));
    }

    /// Lets a second pass; answers the runs that end in it.
    pub(super) fn step(&mut self, now: u64) -> Vec<Ending> {
        let mut endings = Vec::new();
        for (&task, run) in &mut self.runs {
            run.done += run.rate();
            if let Some(how) = run.ends(now) {
                let peak = run.peak();
                endings.push(Ending { task, how, peak });
            }
        }
        for ending in &endings {
            self.runs.remove(&ending.task);
        }
        endings
    }

    /// How urgent work fares now.
    pub(super) fn measure(&mut self, now: u64) -> Reading {
        let mut shares: BTreeMap<Batch, f64> = BTreeMap::new();
        for run in self.runs.values() {
            let used = run.task.millicores * run.rate();
            *shares.entry(run.task.class).or_default() += used / f64::from(CAPACITY.millicores);
        }
        let shares: Vec<(Batch, f64)> = shares.into_iter().collect();
        let load = load_of(self.id, now);
        let slowdown = slowdown(self.urgent(), load, &shares);
        let reading = Reading { slowdown, load };
        self.late.push_back(reading);
        reading
    }

    /// The reading that arrives now; it was taken [`LAG_SECS`] ago.
    pub(super) fn late_reading(&mut self) -> Option<Reading> {
        if self.late.len() as u64 <= LAG_SECS {
            return None;
        }
        self.late.pop_front()
    }
}

impl Run {
    /// Work done in a second, as a share of what it does with all the processors it needs.
    fn rate(&self) -> f64 {
        let share = (f64::from(self.given.millicores) / self.task.millicores).min(1.0);
        match self.state {
            State::Running => share,
            State::Throttled | State::Leaving(_) => share * THROTTLED,
        }
    }

    fn memory(&self) -> f64 {
        let grown = (self.done / (self.task.secs * GROWN)).min(1.0);
        self.task.memory_mib * grown
    }

    fn ends(&self, now: u64) -> Option<How> {
        if self.memory() > f64::from(self.given.memory_mib) {
            return Some(How::Killed);
        }
        if self.done >= self.task.secs {
            return Some(How::Finished);
        }
        match self.state {
            State::Leaving(at) if now >= at => Some(How::Evicted { done: self.done }),
            _ => None,
        }
    }

    fn peak(&self) -> Resources {
        let millicores = self.task.millicores.min(f64::from(self.given.millicores));
        let memory = self.memory().min(f64::from(self.given.memory_mib));
        Resources::new(whole(millicores), whole(memory), 0)
    }
}
