//! The view of members, shared by all tasks of this entry.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

use agate_core::{Incarnation, Site};
use agate_members::{AnnounceOutcome, MemberKey, MemberStatus, MembershipChange, View};
use agate_preset::policy::Membership;
use agate_wire::message::{Heartbeat, Load, MemberInfo, Verdict};

use crate::clock::ProcessClock;

/// The view of members behind a lock that is never held across an await.
#[derive(Debug)]
pub(crate) struct Members {
    clock: ProcessClock,
    view: Mutex<View>,
}

/// A member and its address.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) member: MemberKey,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
}

/// A member as listed for operators.
#[derive(Debug, Clone)]
pub(crate) struct MemberListing {
    pub(crate) info: MemberInfo,
    pub(crate) status: MemberStatus,
    pub(crate) load: Load,
    pub(crate) silent_ms: u64,
}

impl Members {
    /// Creates an empty view for an entry at `here`.
    pub(crate) fn new(here: Site, clock: ProcessClock) -> Self {
        let view = View::new(here, Membership::default(), clock.now());
        Self {
            clock,
            view: Mutex::new(view),
        }
    }

    /// Runs `work` on the view.
    pub(crate) fn with<T>(&self, work: impl FnOnce(&mut View) -> T) -> T {
        work(&mut self.lock())
    }

    /// Records an announcement.
    pub(crate) fn announce(&self, info: MemberInfo) -> AnnounceOutcome {
        let now = self.clock.now();
        self.lock().announce(info, now)
    }

    /// Returns whether an announcement would replace another incarnation at its address.
    pub(crate) fn would_replace(&self, info: &MemberInfo) -> bool {
        let view = self.lock();
        view.find(info.incarnation).is_none() && view.find_address(info.address).is_some()
    }

    /// Records a heartbeat.
    pub(crate) fn record_heartbeat(&self, heartbeat: &Heartbeat) -> Verdict {
        let now = self.clock.now();
        self.lock().record_heartbeat(heartbeat, now)
    }

    /// Records the load reported with an answer.
    pub(crate) fn update_load(&self, incarnation: Incarnation, load: Load) {
        let now = self.clock.now();
        let mut view = self.lock();
        if let Some(key) = view.find(incarnation) {
            view.update_load(key, load, now);
        }
    }

    /// Removes an incarnation permanently.
    pub(crate) fn mark_lost(&self, incarnation: Incarnation) {
        let now = self.clock.now();
        self.lock().mark_lost(incarnation, now);
    }

    /// Stops routing new work to an incarnation whose connection has failed.
    pub(crate) fn condemn(&self, incarnation: Incarnation) {
        let mut view = self.lock();
        if let Some(key) = view.find(incarnation) {
            view.condemn(key);
        }
    }

    /// Resumes routing new work to a member that has been reconnected.
    pub(crate) fn restore(&self, member: MemberKey) {
        self.lock().restore(member);
    }

    /// Returns the members whose connection has failed.
    pub(crate) fn condemned(&self) -> Vec<Target> {
        let view = self.lock();
        let condemned = view
            .iter()
            .filter(|(_, member)| member.status() == MemberStatus::Condemned);
        condemned
            .filter_map(|(key, _)| Target::find(&view, key))
            .collect()
    }

    /// Returns the members that have become silent.
    pub(crate) fn sweep(&self) -> Vec<MembershipChange> {
        let now = self.clock.now();
        self.lock().sweep(now)
    }

    /// Replaces the membership policy.
    pub(crate) fn set_policy(&self, policy: Membership) {
        self.lock().set_policy(policy);
    }

    /// Returns the address of `incarnation`, if it is known.
    pub(crate) fn target(&self, incarnation: Incarnation) -> Option<Target> {
        let view = self.lock();
        let member = view.find(incarnation)?;
        Target::find(&view, member)
    }

    /// Returns the address of a member, if it is still known.
    pub(crate) fn target_of(&self, member: MemberKey) -> Option<Target> {
        Target::find(&self.lock(), member)
    }

    /// Returns all known members.
    pub(crate) fn targets(&self) -> Vec<Target> {
        let view = self.lock();
        let keys: Vec<MemberKey> = view.iter().map(|(key, _)| key).collect();
        keys.into_iter()
            .filter_map(|key| Target::find(&view, key))
            .collect()
    }

    /// Returns every member with its status and load, sorted by address.
    pub(crate) fn list(&self) -> Vec<MemberListing> {
        let now = self.clock.now();
        let view = self.lock();
        let listed = view.iter().map(|(_, member)| MemberListing {
            info: member.info().clone(),
            status: member.status(),
            load: member.load_sample().load,
            silent_ms: u64::try_from(now.since(member.last_heartbeat()).as_millis())
                .unwrap_or(u64::MAX),
        });
        let mut listed: Vec<MemberListing> = listed.collect();
        listed.sort_by_key(|member| member.info.address);
        listed
    }

    fn lock(&self) -> MutexGuard<'_, View> {
        // A panic inside the view is a bug; the view recovers with the next heartbeats.
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Target {
    /// Returns the address of a member, if it is still known.
    pub(crate) fn find(view: &View, member: MemberKey) -> Option<Self> {
        let info = view.get(member)?.info();
        Some(Self {
            member,
            incarnation: info.incarnation,
            address: info.address,
        })
    }
}
