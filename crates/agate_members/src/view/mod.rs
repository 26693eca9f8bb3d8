//! The view of the agents.

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
    /// When this process resumed after a pause. Silence before then does not count.
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
    /// Creates an empty view for a process at `local_site`.
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

    /// Replaces the policy, for example when another preset comes into force.
    pub const fn set_policy(&mut self, policy: Membership) {
        self.policy = policy;
    }

    /// Returns the number of known members, including those that may not get new work.
    pub fn len(&self) -> usize {
        self.members.len()
    }

    /// Returns whether no member is known.
    pub fn is_empty(&self) -> bool {
        self.members.is_empty()
    }

    /// Returns a member.
    pub fn get(&self, key: MemberKey) -> Option<&Member> {
        self.members.get(key)
    }

    /// Returns the member with this incarnation.
    pub fn find(&self, incarnation: Incarnation) -> Option<MemberKey> {
        self.incarnations.get(&incarnation).copied()
    }

    /// Returns the member at an address.
    pub fn find_address(&self, address: SocketAddr) -> Option<MemberKey> {
        self.addresses.get(&address).copied()
    }

    /// Returns every member. For listings only: the cost grows with the number of members.
    pub fn iter(&self) -> impl Iterator<Item = (MemberKey, &Member)> {
        self.members.iter()
    }

    /// Returns the number of tombstones.
    pub fn tombstone_count(&self) -> usize {
        self.tombstones.len()
    }
}
