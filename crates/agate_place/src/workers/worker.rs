//! An entry's view of a worker.

use agate_core::{Incarnation, Moment, Resources, TaskId};
use slotmap::new_key_type;

use super::history::{History, Mix};
use super::index::Slot;
use crate::ClassKey;
use crate::interference::Band;

new_key_type! {
    /// Key of a known worker.
    pub struct WorkerKey;
}

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The worker takes new tasks.
    Open,
    /// The worker takes no tasks for now: it is not trusted, or its urgent work is slowed.
    Closed,
    /// The worker is leaving.
    Leaving,
    /// The worker is reserved for a task that fits nowhere else.
    Reserved,
}

/// The latest reading of one urgent class on a worker.
#[derive(Debug, Clone, Copy)]
pub struct UrgentState {
    /// The urgent class.
    pub class: ClassKey,
    /// Load band at the time of the reading.
    pub band: Band,
    /// When the reading was taken.
    pub measured_at: Moment,
}

/// A worker and its allocations.
#[derive(Debug)]
pub struct Worker {
    /// The incarnation of the agent that runs the worker.
    pub id: Incarnation,
    /// Total capacity.
    pub capacity: Resources,
    /// The part of the capacity that batch work may use.
    pub limit: Resources,
    /// Resources held by tracked runs.
    pub held: Resources,
    /// Resources held by other runs, as reported by the agent.
    pub untracked: Resources,
    /// The tracked runs.
    pub runs: Vec<TaskId>,
    /// Whether it takes new tasks.
    pub admission: Admission,
    /// Latest reading of each urgent class.
    pub urgent: Vec<UrgentState>,
    /// Current batch work by class.
    pub mix: Mix,
    /// Past batch work.
    pub history: History,
    pub(super) slot: Option<Slot>,
    /// Position in the list of all workers.
    pub(super) position: usize,
}

impl Worker {
    /// Returns the unallocated part of the limit.
    pub fn available(&self) -> Resources {
        self.limit.saturating_sub(self.held + self.untracked)
    }

    /// Returns the share of the worker's processors that `amount` takes.
    pub fn share(&self, amount: Resources) -> f64 {
        f64::from(amount.millicores) / f64::from(self.capacity.millicores.max(1))
    }
}
