//! A member of the view.

use agate_core::Moment;
use agate_wire::message::{Load, MemberInfo};
use slotmap::new_key_type;
use strum::Display;

use crate::Scope;
use crate::site::SiteKey;

new_key_type! {
    /// Key of one incarnation of one agent in a [`View`](crate::View).
    pub struct MemberKey;
}

/// Whether a member may get new work, and the reason if not.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberStatus {
    /// The member may get new work.
    Active,
    /// The member is too slow or fails requests. It gets only probes.
    Ejected,
    /// Heartbeats are missing.
    Suspect,
    /// The connection to the member is broken or silent, so a new one must be dialled.
    Condemned,
    /// The member is leaving and finishes its current work.
    Leaving,
}

/// The latest load reported by a member.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadSample {
    /// The load.
    pub load: Load,
    /// When the load was received.
    pub received_at: Moment,
}

/// The statuses that exclude a member from new work. Each is set and cleared independently.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct StatusSet(u8);

impl StatusSet {
    pub(crate) const fn set(&mut self, status: MemberStatus) {
        self.0 |= 1 << status as u8;
    }

    pub(crate) const fn clear(&mut self, status: MemberStatus) {
        self.0 &= !(1 << status as u8);
    }

    pub(crate) const fn has(self, status: MemberStatus) -> bool {
        self.0 & (1 << status as u8) != 0
    }
}

/// Number of heartbeats in order after which a value that they contradict is dropped. A single one
/// may have been delayed.
const MAX_CONTRADICTIONS: u32 = 2;

/// Heartbeats that contradict a value of an earlier one, which another writer may have sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Contradictions {
    count: u32,
    sequence: u64,
}

impl Contradictions {
    /// Records a heartbeat that contradicts the value. Returns whether the value must be dropped.
    pub(crate) const fn record(&mut self, sequence: u64) -> bool {
        let in_order = self.count > 0 && sequence > self.sequence;
        self.count = if in_order { self.count + 1 } else { 1 };
        self.sequence = sequence;
        self.count >= MAX_CONTRADICTIONS
    }

    /// Forgets the recorded heartbeats.
    pub(crate) const fn clear(&mut self) {
        self.count = 0;
    }
}

/// One incarnation of one agent.
#[derive(Debug, Clone)]
pub struct Member {
    pub(crate) info: MemberInfo,
    pub(crate) site: SiteKey,
    pub(crate) scope: Scope,
    /// When the member joined; [`Moment::ZERO`] if it joined while the view was filling.
    pub(crate) joined: Moment,
    /// When the latest heartbeat was received.
    pub(crate) last_heartbeat: Moment,
    /// Sequence number of the latest heartbeat.
    pub(crate) sequence: u64,
    /// Heartbeats that contradict `sequence`.
    pub(crate) contradictions: Contradictions,
    /// When the oldest unanswered ping was sent on the connection to the member.
    pub(crate) ping_sent: Option<Moment>,
    pub(crate) statuses: StatusSet,
    pub(crate) load_sample: LoadSample,
    /// Index in the pool of each class of `info`, or in the pool for every class. Empty while the
    /// member may not get new work.
    pub(crate) pool_indices: Vec<usize>,
    /// When to check the member next.
    pub(crate) next_check: Moment,
}

impl Member {
    /// Returns the information that the agent announced.
    pub const fn info(&self) -> &MemberInfo {
        &self.info
    }

    /// Returns the distance to the member.
    pub const fn scope(&self) -> Scope {
        self.scope
    }

    /// Returns the latest reported load.
    pub const fn load_sample(&self) -> LoadSample {
        self.load_sample
    }

    /// Returns when the latest heartbeat was received.
    pub const fn last_heartbeat(&self) -> Moment {
        self.last_heartbeat
    }

    /// Returns the status of the member; the most severe one if several are set.
    pub const fn status(&self) -> MemberStatus {
        let statuses = self.statuses;
        if statuses.has(MemberStatus::Leaving) {
            MemberStatus::Leaving
        } else if statuses.has(MemberStatus::Condemned) {
            MemberStatus::Condemned
        } else if statuses.has(MemberStatus::Suspect) {
            MemberStatus::Suspect
        } else if statuses.has(MemberStatus::Ejected) {
            MemberStatus::Ejected
        } else {
            MemberStatus::Active
        }
    }
}
