//! The view itself.

mod announce;
mod fill_state;
mod heartbeat;
mod pools;
mod sample;
mod summary;
mod suspicion;

use std::collections::HashMap;
use std::net::SocketAddr;

use agate_core::{Incarnation, Moment, Site};
use agate_preset::policy::Membership;
use slotmap::SlotMap;

use crate::check_queue::CheckQueue;
use crate::site::SitePools;
use crate::tombstones::Tombstones;
use crate::{Member, MemberKey};

pub use announce::AnnounceOutcome;
pub use fill_state::FillState;
pub use sample::CandidateQuery;
pub use suspicion::MembershipChange;

/// An entry's view of the agents.
#[derive(Debug)]
pub struct View {
    local_site: Site,
    policy: Membership,
    created_at: Moment,
    last_sweep: Moment,
    /// Until when nobody is suspected, because this process itself was not running.
    resumed_at: Moment,
    peer_size: u32,
    ejected: usize,
    members: SlotMap<MemberKey, Member>,
    incarnations: HashMap<Incarnation, MemberKey>,
    addresses: HashMap<SocketAddr, MemberKey>,
    sites: Vec<SitePools>,
    tombstones: Tombstones,
    check_queue: CheckQueue,
}

impl View {
    /// Starts an empty view of a process at `here`.
    pub fn new(local_site: Site, policy: Membership, now: Moment) -> Self {
        Self {
            local_site,
            policy,
            created_at: now,
            last_sweep: now,
            resumed_at: now,
            peer_size: 0,
            ejected: 0,
            members: SlotMap::with_key(),
            incarnations: HashMap::new(),
            addresses: HashMap::new(),
            sites: Vec::new(),
            tombstones: Tombstones::default(),
            check_queue: CheckQueue::default(),
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
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }
}
