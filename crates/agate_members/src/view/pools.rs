//! Keeps the pools consistent with the members.

use agate_core::{ClassName, Site};
use agate_wire::message::Load;

use super::View;
use crate::member::StatusSet;
use crate::site::{SiteKey, SitePools};
use crate::{Member, MemberKey, MemberStatus, Scope};

impl View {
    /// Returns the key of `site` and adds the site if it is new.
    pub(super) fn site_key(&mut self, site: &Site) -> SiteKey {
        let known = self.sites.iter().position(|pools| pools.site == *site);
        let index = known.unwrap_or_else(|| {
            let scope = Scope::between(&self.local_site, site);
            self.sites.push(SitePools::new(site.clone(), scope));
            self.sites.len() - 1
        });
        SiteKey(index)
    }

    /// Changes the statuses of a member and adds it to or removes it from its pools accordingly.
    pub(super) fn update_statuses(&mut self, key: MemberKey, change: impl FnOnce(&mut StatusSet)) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        change(&mut member.statuses);
        let active = member.status() == MemberStatus::Active;
        match (active, member.pool_indices.is_empty()) {
            (true, true) => self.add_to_pools(key),
            (false, false) => self.remove_from_pools(key),
            (true, false) | (false, true) => {}
        }
    }

    /// Adds a member to its pools if it may get new work.
    pub(super) fn add_to_pools(&mut self, key: MemberKey) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if member.status() != MemberStatus::Active || !member.pool_indices.is_empty() {
            return;
        }
        let host = self.sites[member.site.0].host_mut(member.info.host);
        let (slots, load) = (member.info.capacity.slots, member.load_sample.load);
        host.active.add(slots, load);
        for number in 0..pool_count(member) {
            let pool = host.pool_mut(pool_class(member, number));
            member.pool_indices.push(pool.add(key, slots, load));
        }
    }

    /// Removes a member from its pools.
    pub(super) fn remove_from_pools(&mut self, key: MemberKey) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let pool_indices = std::mem::take(&mut member.pool_indices);
        if pool_indices.is_empty() {
            return;
        }
        let host = self.sites[member.site.0].host_mut(member.info.host);
        let (slots, load) = (member.info.capacity.slots, member.load_sample.load);
        host.active.remove(slots, load);
        for (number, index) in pool_indices.into_iter().enumerate() {
            self.remove_from_pool(key, number, index);
        }
    }

    /// Replaces the load of a member, also in its pools.
    pub(super) fn replace_load(&mut self, key: MemberKey, new: Load) {
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        let old = std::mem::replace(&mut member.load_sample.load, new);
        let host = self.sites[member.site.0].host_mut(member.info.host);
        if !member.pool_indices.is_empty() {
            host.active.replace_load(old, new);
        }
        for number in 0..member.pool_indices.len() {
            host.pool_mut(pool_class(member, number))
                .replace_load(old, new);
        }
    }

    fn remove_from_pool(&mut self, key: MemberKey, number: usize, index: usize) {
        let member = &self.members[key];
        let class = pool_class(member, number).cloned();
        let host = self.sites[member.site.0].host_mut(member.info.host);
        let (slots, load) = (member.info.capacity.slots, member.load_sample.load);
        let pool = host.pool_mut(class.as_ref());
        let moved = pool.remove(index, slots, load);
        if pool.keys().is_empty() {
            host.drop_pool(class.as_ref());
        }
        let Some(moved) = moved else {
            return;
        };
        let Some(other) = self.members.get_mut(moved) else {
            return;
        };
        let number = pool_number(other, class.as_ref());
        if let Some(slot) = other.pool_indices.get_mut(number) {
            *slot = index;
        }
    }
}

/// Returns the number of pools that a member is in while it may get new work.
fn pool_count(member: &Member) -> usize {
    member.info.classes.len().max(1)
}

/// Returns the class of a member's pool with this number; `None` is the pool for every class.
fn pool_class(member: &Member, number: usize) -> Option<&ClassName> {
    member.info.classes.get(number)
}

fn pool_number(member: &Member, class: Option<&ClassName>) -> usize {
    let classes = &member.info.classes;
    class.map_or(0, |class| {
        classes.iter().position(|c| c == class).unwrap_or(0)
    })
}
