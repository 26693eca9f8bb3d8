//! One worker as an entry sees it.

use agate_core::{Incarnation, Moment, Resources, TaskId};
use slotmap::new_key_type;

use super::history::{History, Mix};
use super::index::Slot;
use crate::ClassKey;
use crate::interference::Band;

new_key_type! {
    /// A worker known to an entry.
    pub struct WorkerKey;
}

/// Whether a worker takes new tasks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// It takes any.
    Open,
    /// It takes none for now: it is quarantined or has a trial run.
    Closed,
    /// It is leaving.
    Leaving,
    /// Its room is kept for a task that found none elsewhere.
    Reserved,
}

/// The newest reading of one urgent class on a worker.
#[derive(Debug, Clone, Copy)]
pub struct UrgentState {
    /// The urgent class.
    pub class: ClassKey,
    /// Load when it was measured.
    pub band: Band,
    /// When it was measured.
    pub measured_at: Moment,
}

/// One worker.
#[derive(Debug)]
pub struct Worker {
    /// The start of the agent that owns it.
    pub id: Incarnation,
    /// What it has.
    pub capacity: Resources,
    /// What batch work may hold of it.
    pub limit: Resources,
    /// What runs known here hold.
    pub held: Resources,
    /// What runs that are not known here hold, by the agent's word.
    pub untracked: Resources,
    /// The runs known here.
    pub runs: Vec<TaskId>,
    /// Whether it takes new tasks.
    pub admission: Admission,
    /// The newest readings of urgent work.
    pub urgent: Vec<UrgentState>,
    /// What runs now, by class.
    pub mix: Mix,
    /// What ran before.
    pub history: History,
    pub(super) slot: Option<Slot>,
    /// Place in the list of all workers.
    pub(super) place: usize,
}

impl Worker {
    /// What is left of the limit.
    pub fn available(&self) -> Resources {
        self.limit.saturating_sub(self.held + self.untracked)
    }

    /// Share of the worker's processors that `amount` takes.
    pub fn share(&self, amount: Resources) -> f64 {
        f64::from(amount.millicores) / f64::from(self.capacity.millicores.max(1))
    }
}
