//! One member of the view.

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

/// Whether a member may get new work, and if not, why.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum MemberStatus {
    /// It may get new work.
    Active,
    /// It serves too slowly or fails, and gets only probes.
    Ejected,
    /// Its heartbeats are missing.
    Suspect,
    /// The connection to it has gone silent; a new one must be dialled.
    Condemned,
    /// It is leaving and finishes what it has.
    Leaving,
}

/// The newest load that a member has told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LoadSample {
    /// The load.
    pub load: Load,
    /// When it arrived.
    pub received_at: Moment,
}

/// A set of reasons against new work, each raised and cleared on its own.
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

/// One incarnation of one agent.
#[derive(Debug, Clone)]
pub struct Member {
    pub(crate) info: MemberInfo,
    pub(crate) site: SiteKey,
    pub(crate) scope: Scope,
    /// When it joined; the start of the clock if it was there when the view began.
    pub(crate) joined: Moment,
    /// When its newest heartbeat arrived.
    pub(crate) last_heartbeat: Moment,
    /// Number of its newest heartbeat.
    pub(crate) sequence: u64,
    /// When the oldest unanswered ping was sent on the connection to it.
    pub(crate) ping_sent: Option<Moment>,
    pub(crate) statuses: StatusSet,
    pub(crate) load_sample: LoadSample,
    /// Index in the pool of each class of `info`, or in the pool for every class. Empty while it
    /// may not get new work.
    pub(crate) pool_indices: Vec<usize>,
    /// When it is to be looked at again.
    pub(crate) next_check: Moment,
}

impl Member {
    /// What the agent announced.
    pub const fn info(&self) -> &MemberInfo {
        &self.info
    }

    /// How far away it is.
    pub const fn scope(&self) -> Scope {
        self.scope
    }

    /// The newest load that it has told.
    pub const fn load_sample(&self) -> LoadSample {
        self.load_sample
    }

    /// When its newest heartbeat arrived.
    pub const fn last_heartbeat(&self) -> Moment {
        self.last_heartbeat
    }

    /// Whether it may get new work; the gravest reason against it if there are several.
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
