//! Pools of members by site.

use std::collections::HashMap;

use agate_core::{ClassName, Host, Site};

use crate::pool::Pool;
use crate::{Occupancy, Scope};

/// Index of a site in a view.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) struct SiteKey(pub(crate) usize);

/// The pools of one kind of host.
#[derive(Debug, Default)]
pub(crate) struct HostPools {
    /// Members that serve every class.
    pub(crate) every_class: Pool,
    /// Members that serve only specific classes.
    pub(crate) by_class: HashMap<ClassName, Pool>,
    /// Number of known members, including those that may not get new work.
    pub(crate) known: u32,
    /// Occupancy of the members that may get new work.
    pub(crate) active: Occupancy,
}

/// One availability zone and its pools.
#[derive(Debug)]
pub(crate) struct SitePools {
    pub(crate) site: Site,
    pub(crate) scope: Scope,
    backends: HostPools,
    workers: HostPools,
}

impl SitePools {
    pub(crate) fn new(site: Site, scope: Scope) -> Self {
        Self {
            site,
            scope,
            backends: HostPools::default(),
            workers: HostPools::default(),
        }
    }

    pub(crate) const fn host(&self, host: Host) -> &HostPools {
        match host {
            Host::Backend => &self.backends,
            Host::Worker => &self.workers,
        }
    }

    pub(crate) const fn host_mut(&mut self, host: Host) -> &mut HostPools {
        match host {
            Host::Backend => &mut self.backends,
            Host::Worker => &mut self.workers,
        }
    }
}

impl HostPools {
    /// Returns the pool of `class`, or the pool for every class if it is `None`.
    pub(crate) fn pool_mut(&mut self, class: Option<&ClassName>) -> &mut Pool {
        match class {
            None => &mut self.every_class,
            Some(class) => self.by_class.entry(class.clone()).or_default(),
        }
    }

    /// Drops the empty pool of `class`, so that classes that no member serves take no memory.
    pub(crate) fn drop_pool(&mut self, class: Option<&ClassName>) {
        if let Some(class) = class {
            self.by_class.remove(class);
        }
    }

    /// Returns the pools whose members serve `class`.
    pub(crate) fn serving(&self, class: &ClassName) -> impl Iterator<Item = &Pool> {
        std::iter::once(&self.every_class).chain(self.by_class.get(class))
    }
}
