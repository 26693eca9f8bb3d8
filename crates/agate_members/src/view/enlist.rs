//! Keeps the pools in step with the members.

use agate_core::{ClassName, Site};
use agate_wire::message::Load;

use super::View;
use crate::member::Reasons;
use crate::site::{SiteKey, SitePools};
use crate::{Member, MemberKey, Scope, Standing};

impl View {
    /// The index of `site`, added if it is new.
    pub(super) fn site(&mut self, site: &Site) -> SiteKey {
        let known = self.sites.iter().position(|pools| pools.site == *site);
        let index = known.unwrap_or_else(|| {
            let scope = Scope::between(&self.here, site);
            self.sites.push(SitePools::new(site.clone(), scope));
            self.sites.len() - 1
        });
        SiteKey(index)
    }

    /// Changes the reasons against new work and moves the member in or out of its pools.
    pub(super) fn set_reasons(&mut self, key: MemberKey, change: impl FnOnce(&mut Reasons)) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        change(&mut member.reasons);
        let active = member.standing() == Standing::Active;
        match (active, member.places.is_empty()) {
            (true, true) => self.enlist(key),
            (false, false) => self.delist(key),
            (true, false) | (false, true) => {}
        }
    }

    /// Puts a member into its pools if it may get new work.
    pub(super) fn enlist(&mut self, key: MemberKey) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if member.standing() != Standing::Active || !member.places.is_empty() {
            return;
        }
        let host = self.sites[member.site.0].host_mut(member.info.host);
        let (slots, load) = (member.info.capacity.slots, member.reading.load);
        host.active.add(slots, load);
        for place in 0..place_count(member) {
            let pool = host.pool_mut(class_of(member, place));
            member.places.push(pool.add(key, slots, load));
        }
    }

    /// Takes a member out of its pools.
    pub(super) fn delist(&mut self, key: MemberKey) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let places = std::mem::take(&mut member.places);
        if places.is_empty() {
            return;
        }
        let host = self.sites[member.site.0].host_mut(member.info.host);
        let (slots, load) = (member.info.capacity.slots, member.reading.load);
        host.active.remove(slots, load);
        for (place, index) in places.into_iter().enumerate() {
            self.remove_place(key, place, index);
        }
    }

    /// Replaces the load of a member in its pools.
    pub(super) fn reload(&mut self, key: MemberKey, new: Load) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut member.reading.load, new);
        let host = self.sites[member.site.0].host_mut(member.info.host);
        if !member.places.is_empty() {
            host.active.reload(old, new);
        }
        for place in 0..member.places.len() {
            host.pool_mut(class_of(member, place)).reload(old, new);
        }
    }

    fn remove_place(&mut self, key: MemberKey, place: usize, index: usize) {
        let member = &self.members[key];
        let class = class_of(member, place).cloned();
        let host = self.sites[member.site.0].host_mut(member.info.host);
        let (slots, load) = (member.info.capacity.slots, member.reading.load);
        let pool = host.pool_mut(class.as_ref());
        let Some(moved) = pool.remove(index, slots, load) else {
            return;
        };
        let Some(other) = self.members.get_mut(moved) else {
            return;
        };
        let place = place_of(other, class.as_ref());
        if let Some(slot) = other.places.get_mut(place) {
            *slot = index;
        }
    }
}

/// Pools that a member stands in while it may get new work.
fn place_count(member: &Member) -> usize {
    member.info.classes.len().max(1)
}

/// The class of a member's place; `None` is the pool for every class.
fn class_of(member: &Member, place: usize) -> Option<&ClassName> {
    member.info.classes.get(place)
}

fn place_of(member: &Member, class: Option<&ClassName>) -> usize {
    let classes = &member.info.classes;
    class.map_or(0, |class| {
        classes.iter().position(|c| c == class).unwrap_or(0)
    })
}
