//! The view itself.

mod announce;
mod draw;
mod enlist;
mod fill;
mod heartbeat;
mod summary;
mod suspicion;

use std::collections::HashMap;
use std::net::SocketAddr;

use agate_core::{Incarnation, Moment, Site};
use agate_preset::policy::Membership;
use slotmap::SlotMap;

use crate::due::DueQueue;
use crate::site::SitePools;
use crate::tombstones::Tombstones;
use crate::{Member, MemberKey};

pub use announce::Announced;
pub use draw::Draw;
pub use fill::Fill;
pub use suspicion::Change;

/// An entry's view of the agents.
#[derive(Debug)]
pub struct View {
    here: Site,
    policy: Membership,
    born: Moment,
    swept: Moment,
    /// Until when nobody is suspected, because this process itself was not running.
    excused: Moment,
    expected: u32,
    ejected: usize,
    members: SlotMap<MemberKey, Member>,
    incarnations: HashMap<Incarnation, MemberKey>,
    addresses: HashMap<SocketAddr, MemberKey>,
    sites: Vec<SitePools>,
    gone: Tombstones,
    due: DueQueue,
}

impl View {
    /// Starts an empty view of a process at `here`.
    pub fn new(here: Site, policy: Membership, now: Moment) -> Self {
        Self {
            here,
            policy,
            born: now,
            swept: now,
            excused: now,
            expected: 0,
            ejected: 0,
            members: SlotMap::with_key(),
            incarnations: HashMap::new(),
            addresses: HashMap::new(),
            sites: Vec::new(),
            gone: Tombstones::default(),
            due: DueQueue::default(),
        }
    }

    /// Replaces the policy, as when another preset comes into force.
    pub const fn set_policy(&mut self, policy: Membership) {
        self.policy = policy;
    }

    /// Members known, those that may not get new work included.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// One member.
    pub fn get(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(key)
    }

    /// The member of an incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<MemberKey> {
        self.incarnations.get(&incarnation).copied()
    }

    /// The member at an address.
    pub fn find_address(&self, address: SocketAddr) -> Option<MemberKey> {
        self.addresses.get(&address).copied()
    }

    /// Every member; for listings, not for decisions.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.members.iter()
    }

    /// Incarnations that are remembered as gone for good.
    pub fn tombstones(&self) -> usize {
        self.gone.len()
    }
}
