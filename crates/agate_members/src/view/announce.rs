//! Joining, leaving, replacement and loss of members.

use agate_core::{Incarnation, Moment};
use agate_wire::message::MemberInfo;

use super::{FillState, View};
use crate::heartbeat_interval::suspicion_timeout;
use crate::member::{Contradictions, LoadSample, StatusSet};
use crate::{Member, MemberKey, MemberStatus, Scope};

/// Result of an announcement.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum AnnounceOutcome {
    /// The member is new.
    Joined(MemberKey),
    /// The member was known.
    Known(MemberKey),
    /// The incarnation is known with other information, which can't change during its life. The
    /// announcement has no effect.
    Contradicted(MemberKey),
    /// The member is new and replaces the incarnation that had its address.
    Replaced {
        /// The new member.
        key: MemberKey,
        /// The incarnation that was replaced.
        old: Incarnation,
    },
    /// The incarnation has a tombstone and may not rejoin.
    Gone,
}

impl View {
    /// Adds or updates the member of an announcement.
    pub fn announce(&mut self, mut info: MemberInfo, now: Moment) -> AnnounceOutcome {
        // A member is in each pool at most once.
        info.classes.sort_unstable();
        info.classes.dedup();
        let incarnation = info.incarnation;
        if self.tombstones.contains(incarnation) {
            return AnnounceOutcome::Gone;
        }
        if let Some(key) = self.find(incarnation) {
            return self.confirm(key, &info, now);
        }
        let old = self.remove_at_address(&info, now);
        let key = self.insert(info, now);
        match old {
            None => AnnounceOutcome::Joined(key),
            Some(old) => AnnounceOutcome::Replaced { key, old },
        }
    }

    /// Excludes a member from new work. It stays known while it finishes its current work.
    pub fn mark_leaving(&mut self, key: MemberKey) {
        self.update_statuses(key, |statuses| statuses.set(MemberStatus::Leaving));
    }

    /// Removes an incarnation that is recorded as lost and adds a tombstone, even if the
    /// incarnation is unknown, so that it can't rejoin.
    pub fn mark_lost(&mut self, incarnation: Incarnation, now: Moment) -> Option<MemberKey> {
        self.tombstones.add(incarnation, now);
        let key = self.find(incarnation)?;
        self.remove(key);
        Some(key)
    }

    /// Excludes a member that is slow or fails requests from new work. It may still get probes.
    pub fn eject(&mut self, key: MemberKey) {
        if self.is_ejected(key) {
            return;
        }
        self.ejected += 1;
        self.update_statuses(key, |statuses| statuses.set(MemberStatus::Ejected));
    }

    /// Reinstates an ejected member. It warms up like a new member.
    pub fn reinstate(&mut self, key: MemberKey, now: Moment) {
        if !self.is_ejected(key) {
            return;
        }
        self.ejected -= 1;
        if let Some(member) = self.members.get_mut(key) {
            member.joined = now;
        }
        self.update_statuses(key, |statuses| statuses.clear(MemberStatus::Ejected));
    }

    pub(super) fn remove(&mut self, key: MemberKey) -> Option<Member> {
        self.remove_from_pools(key);
        if self.is_ejected(key) {
            self.ejected -= 1;
        }
        let member = self.members.remove(key)?;
        let info = &member.info;
        self.incarnations.remove(&info.incarnation);
        if self.addresses.get(&info.address) == Some(&key) {
            self.addresses.remove(&info.address);
        }
        self.sites[member.site.0].host_mut(info.host).known -= 1;
        Some(member)
    }

    fn is_ejected(&self, key: MemberKey) -> bool {
        let member = self.members.get(key);
        member.is_some_and(|member| member.statuses.has(MemberStatus::Ejected))
    }

    /// Records that a known member has announced itself again.
    fn confirm(&mut self, key: MemberKey, info: &MemberInfo, now: Moment) -> AnnounceOutcome {
        let Some(member) = self.members.get_mut(key) else {
            return AnnounceOutcome::Gone;
        };
        if member.info != *info {
            return AnnounceOutcome::Contradicted(key);
        }
        member.last_heartbeat = now;
        self.update_statuses(key, |statuses| statuses.clear(MemberStatus::Suspect));
        AnnounceOutcome::Known(key)
    }

    /// Removes the incarnation that previously had the address of `info`.
    fn remove_at_address(&mut self, info: &MemberInfo, now: Moment) -> Option<Incarnation> {
        let key = self.find_address(info.address)?;
        let old = self.remove(key)?.info.incarnation;
        self.tombstones.add(old, now);
        Some(old)
    }

    fn insert(&mut self, info: MemberInfo, now: Moment) -> MemberKey {
        let scope = Scope::between(&self.local_site, &info.site);
        let site = self.site_key(&info.site);
        let joined = match self.fill_state(now) {
            FillState::Filling => Moment::ZERO,
            FillState::Full => now,
        };
        let next_check = now + suspicion_timeout(&self.policy, scope);
        self.sites[site.0].host_mut(info.host).known += 1;
        let (incarnation, address) = (info.incarnation, info.address);
        let key = self.members.insert(Member {
            info,
            site,
            scope,
            joined,
            last_heartbeat: now,
            sequence: 0,
            contradictions: Contradictions::default(),
            ping_sent: None,
            statuses: StatusSet::default(),
            load_sample: LoadSample {
                received_at: now,
                ..LoadSample::default()
            },
            pool_indices: Vec::new(),
            next_check,
        });
        self.incarnations.insert(incarnation, key);
        self.addresses.insert(address, key);
        self.check_queue.push(next_check, key);
        self.add_to_pools(key);
        key
    }
}
