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
pub enum Standing {
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
pub struct Reading {
    /// The load.
    pub load: Load,
    /// When it arrived.
    pub at: Moment,
}

/// A set of reasons against new work, each raised and cleared on its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Reasons(u8);

impl Reasons {
    pub(crate) const fn raise(&mut self, reason: Standing) {
        self.0 |= 1 << reason as u8;
    }

    pub(crate) const fn clear(&mut self, reason: Standing) {
        self.0 &= !(1 << reason as u8);
    }

    pub(crate) const fn has(self, reason: Standing) -> bool {
        self.0 & (1 << reason as u8) != 0
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
    pub(crate) heard: Moment,
    /// Number of its newest heartbeat.
    pub(crate) sequence: u64,
    /// When the oldest unanswered ping was sent on the connection to it.
    pub(crate) asked: Option<Moment>,
    pub(crate) reasons: Reasons,
    pub(crate) reading: Reading,
    /// Index in the pool of each class of `info`, or in the pool for every class. Empty while it
    /// may not get new work.
    pub(crate) places: Vec<usize>,
    /// When it is to be looked at again.
    pub(crate) due: Moment,
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
    pub const fn reading(&self) -> Reading {
        self.reading
    }

    /// When its newest heartbeat arrived.
    pub const fn heard(&self) -> Moment {
        self.heard
    }

    /// Whether it may get new work; the gravest reason against it if there are several.
    pub const fn standing(&self) -> Standing {
        let reasons = self.reasons;
        if reasons.has(Standing::Leaving) {
            Standing::Leaving
        } else if reasons.has(Standing::Condemned) {
            Standing::Condemned
        } else if reasons.has(Standing::Suspect) {
            Standing::Suspect
        } else if reasons.has(Standing::Ejected) {
            Standing::Ejected
        } else {
            Standing::Active
        }
    }
}
