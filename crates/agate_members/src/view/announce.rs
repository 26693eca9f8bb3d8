//! Members that join, leave, are replaced or are lost.

use agate_core::{Incarnation, Moment};
use agate_wire::message::MemberInfo;

use super::{Fill, View};
use crate::member::{Reading, Reasons};
use crate::pace::suspect_after;
use crate::{Member, MemberKey, Scope, Standing};

/// What an announcement did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Announced {
    /// The member is new.
    Joined(MemberKey),
    /// The member was known; what it announced has been taken over.
    Known(MemberKey),
    /// The member is new and took the address of an incarnation that is gone therefore.
    Replaced {
        /// The new member.
        key: MemberKey,
        /// The incarnation that is gone.
        old: Incarnation,
    },
    /// The incarnation is gone for good and may not come back.
    Gone,
}

impl View {
    /// Takes over an announcement.
    pub fn announce(&mut self, info: MemberInfo, now: Moment) -> Announced {
        let incarnation = info.incarnation;
        if self.gone.contains(incarnation) {
            return Announced::Gone;
        }
        if let Some(key) = self.find(incarnation) {
            self.update(key, info, now);
            return Announced::Known(key);
        }
        let old = self.replace(&info, now);
        let key = self.insert(info, now);
        match old {
            None => Announced::Joined(key),
            Some(old) => Announced::Replaced { key, old },
        }
    }

    /// Takes a member out of new work at once; it stays known while it finishes what it has.
    pub fn leave(&mut self, key: MemberKey) {
        self.set_reasons(key, |reasons| reasons.raise(Standing::Leaving));
    }

    /// Removes an incarnation that is recorded as lost, known or not. It never comes back.
    pub fn lost(&mut self, incarnation: Incarnation, now: Moment) -> Option<MemberKey> {
        self.gone.add(incarnation, now);
        let key = self.find(incarnation)?;
        self.remove(key);
        Some(key)
    }

    /// Takes a member that serves badly out of new work; it may get probes.
    pub fn eject(&mut self, key: MemberKey) {
        if self.is_ejected(key) {
            return;
        }
        self.ejected += 1;
        self.set_reasons(key, |reasons| reasons.raise(Standing::Ejected));
    }

    /// Gives work again to a member that was ejected. Its share rises as that of a newcomer.
    pub fn reinstate(&mut self, key: MemberKey, now: Moment) {
        if !self.is_ejected(key) {
            return;
        }
        self.ejected -= 1;
        if let Some(member) = self.members.get_mut(key) {
            member.joined = now;
        }
        self.set_reasons(key, |reasons| reasons.clear(Standing::Ejected));
    }

    pub(super) fn remove(&mut self, key: MemberKey) -> Option<Member> {
        self.delist(key);
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
        member.is_some_and(|member| member.reasons.has(Standing::Ejected))
    }

    /// Replaces what a known member announced.
    fn update(&mut self, key: MemberKey, info: MemberInfo, now: Moment) {
        if self.find_address(info.address) != Some(key) {
            self.replace(&info, now);
        }
        self.delist(key);
        let site = self.site(&info.site);
        let scope = Scope::between(&self.here, &info.site);
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut member.info, info);
        let (old_site, new) = (member.site, &member.info);
        member.site = site;
        member.scope = scope;
        member.heard = now;
        member.reasons.clear(Standing::Suspect);
        self.sites[old_site.0].host_mut(old.host).known -= 1;
        self.sites[site.0].host_mut(new.host).known += 1;
        self.addresses.remove(&old.address);
        self.addresses.insert(new.address, key);
        self.enlist(key);
    }

    /// Removes the incarnation that held the address of `info` before.
    fn replace(&mut self, info: &MemberInfo, now: Moment) -> Option<Incarnation> {
        let key = self.find_address(info.address)?;
        let old = self.remove(key)?.info.incarnation;
        self.gone.add(old, now);
        Some(old)
    }

    fn insert(&mut self, info: MemberInfo, now: Moment) -> MemberKey {
        let scope = Scope::between(&self.here, &info.site);
        let site = self.site(&info.site);
        let joined = match self.fill(now) {
            Fill::Filling => Moment::ZERO,
            Fill::Full => now,
        };
        let due = now + suspect_after(&self.policy, scope);
        self.sites[site.0].host_mut(info.host).known += 1;
        let (incarnation, address) = (info.incarnation, info.address);
        let key = self.members.insert(Member {
            info,
            site,
            scope,
            joined,
            heard: now,
            sequence: 0,
            asked: None,
            reasons: Reasons::default(),
            reading: Reading {
                at: now,
                ..Reading::default()
            },
            places: Vec::new(),
            due,
        });
        self.incarnations.insert(incarnation, key);
        self.addresses.insert(address, key);
        self.due.push(due, key);
        self.enlist(key);
        key
    }
}
