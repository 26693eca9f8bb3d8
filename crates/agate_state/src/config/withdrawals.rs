//! Withdrawals in force.

use std::collections::BTreeMap;

use agate_core::Version;
use agate_records::{JobSubmitted, Withdrawn};
use agate_wire::message::{Selector, Withdrawal};

use crate::RejectReason;

/// A withdrawal and its version.
#[derive(Debug, Clone)]
pub(crate) struct VersionedWithdrawal {
    pub(crate) record: Withdrawn,
    pub(crate) version: Version,
}

/// The withdrawals in force, by class and tag.
///
/// A withdrawal changes the version of a class or tag, and the version is checked when work is
/// bound ("About problems of cache invalidation. Cache tagging", I. Zakrevsky, 2016), so its cost
/// does not depend on the amount of work that it applies to.
#[derive(Debug, Clone)]
pub(crate) struct Withdrawals {
    limit: usize,
    in_force: BTreeMap<Selector, VersionedWithdrawal>,
}

impl Withdrawals {
    pub(crate) const fn new(limit: usize) -> Self {
        Self {
            limit,
            in_force: BTreeMap::new(),
        }
    }

    pub(crate) fn withdraw(
        &mut self,
        version: Version,
        record: &Withdrawn,
    ) -> Result<(), RejectReason> {
        let known = self.in_force.contains_key(&record.selector);
        if !known && self.in_force.len() >= self.limit {
            return Err(RejectReason::TooManyWithdrawals);
        }
        let versioned = VersionedWithdrawal {
            record: record.clone(),
            version,
        };
        self.in_force.insert(record.selector.clone(), versioned);
        Ok(())
    }

    pub(crate) fn resume(&mut self, selector: &Selector) -> Result<(), RejectReason> {
        match self.in_force.remove(selector) {
            Some(_) => Ok(()),
            None => Err(RejectReason::NotWithdrawn),
        }
    }

    /// Returns the version of a withdrawal that applies to the job.
    pub(crate) fn version_for(&self, job: &JobSubmitted) -> Option<Version> {
        if self.in_force.is_empty() {
            return None;
        }
        let tags = job.tags.iter().cloned().map(Selector::Tag);
        let mut selectors = tags.chain([Selector::Class(job.class.clone())]);
        selectors.find_map(|selector| Some(self.in_force.get(&selector)?.version))
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &VersionedWithdrawal> {
        self.in_force.values()
    }

    pub(crate) fn to_messages(&self) -> Vec<Withdrawal> {
        let message = |versioned: &VersionedWithdrawal| Withdrawal {
            selector: versioned.record.selector.clone(),
            mode: versioned.record.mode,
            version: versioned.version,
        };
        self.in_force.values().map(message).collect()
    }
}
