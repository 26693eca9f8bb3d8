//! The view of members, shared by every task of this entry.

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

/// A member that work is sent to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Target {
    pub(crate) member: MemberKey,
    pub(crate) incarnation: Incarnation,
    pub(crate) address: SocketAddr,
}

/// A member as operators see it.
#[derive(Debug, Clone)]
pub(crate) struct Listed {
    pub(crate) info: MemberInfo,
    pub(crate) standing: MemberStatus,
    pub(crate) load: Load,
    pub(crate) silent_ms: u64,
}

impl Members {
    /// Starts an empty view of an entry at `here`.
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

    /// Takes over an announcement.
    pub(crate) fn announce(&self, info: MemberInfo) -> AnnounceOutcome {
        let now = self.clock.now();
        self.lock().announce(info, now)
    }

    /// Takes over a heartbeat.
    pub(crate) fn heartbeat(&self, beat: &Heartbeat) -> Verdict {
        let now = self.clock.now();
        self.lock().record_heartbeat(beat, now)
    }

    /// Takes over the load that came with an answer.
    pub(crate) fn read_load(&self, incarnation: Incarnation, load: Load) {
        let now = self.clock.now();
        let mut view = self.lock();
        if let Some(key) = view.find(incarnation) {
            view.update_load(key, load, now);
        }
    }

    /// Removes an incarnation for good.
    pub(crate) fn lost(&self, incarnation: Incarnation) {
        let now = self.clock.now();
        self.lock().mark_lost(incarnation, now);
    }

    /// Keeps new work from an incarnation whose connection is broken.
    pub(crate) fn condemn(&self, incarnation: Incarnation) {
        let mut view = self.lock();
        if let Some(key) = view.find(incarnation) {
            view.condemn(key);
        }
    }

    /// Gives new work again to a member to which a new connection was made.
    pub(crate) fn restored(&self, member: MemberKey) {
        self.lock().restore(member);
    }

    /// The members whose connection is broken.
    pub(crate) fn condemned(&self) -> Vec<Target> {
        let view = self.lock();
        let condemned = view
            .iter()
            .filter(|(_, member)| member.status() == MemberStatus::Condemned);
        condemned
            .filter_map(|(key, _)| Target::find(&view, key))
            .collect()
    }

    /// Finds the members that fell silent.
    pub(crate) fn sweep(&self) -> Vec<MembershipChange> {
        let now = self.clock.now();
        self.lock().sweep(now)
    }

    /// Replaces the membership policy.
    pub(crate) fn set_policy(&self, policy: Membership) {
        self.lock().set_policy(policy);
    }

    /// Where `incarnation` is reached, if it is known.
    pub(crate) fn target(&self, incarnation: Incarnation) -> Option<Target> {
        let view = self.lock();
        let member = view.find(incarnation)?;
        Target::find(&view, member)
    }

    /// Where a member is reached, if it is still known.
    pub(crate) fn target_of(&self, member: MemberKey) -> Option<Target> {
        Target::find(&self.lock(), member)
    }

    /// Every member that is known.
    pub(crate) fn targets(&self) -> Vec<Target> {
        let view = self.lock();
        let keys: Vec<MemberKey> = view.iter().map(|(key, _)| key).collect();
        keys.into_iter()
            .filter_map(|key| Target::find(&view, key))
            .collect()
    }

    /// Every member with its standing and load, sorted by address.
    pub(crate) fn list(&self) -> Vec<Listed> {
        let now = self.clock.now();
        let view = self.lock();
        let listed = view.iter().map(|(_, member)| Listed {
            info: member.info().clone(),
            standing: member.status(),
            load: member.load_sample().load,
            silent_ms: u64::try_from(now.since(member.last_heartbeat()).as_millis())
                .unwrap_or(u64::MAX),
        });
        let mut listed: Vec<Listed> = listed.collect();
        listed.sort_by_key(|member| member.info.address);
        listed
    }

    fn lock(&self) -> MutexGuard<'_, View> {
        // A panic inside the view is a bug; the entry goes on with what the view holds and heals
        // with the next heartbeats.
        self.view.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Target {
    /// Where a member is reached, if it is still known.
    pub(crate) fn find(view: &View, member: MemberKey) -> Option<Self> {
        let info = view.get(member)?.info();
        Some(Self {
            member,
            incarnation: info.incarnation,
            address: info.address,
        })
    }
}
