//! Sums over members, kept incrementally.

use agate_core::Host;

use super::{Draw, View};
use crate::pool::Pool;
use crate::{Occupancy, SiteDigest};

impl View {
    /// How full the members are that `draw` would draw from.
    pub fn occupancy(&self, draw: &Draw<'_>) -> Occupancy {
        let sums = self.pools(draw).map(Pool::sums);
        sums.fold(Occupancy::default(), Occupancy::plus)
    }

    /// How full all members of one kind are that may get new work.
    pub fn active(&self, host: Host) -> Occupancy {
        let sums = self.sites.iter().map(|site| site.host(host).active);
        sums.fold(Occupancy::default(), Occupancy::plus)
    }

    /// Members that are ejected.
    pub const fn ejected(&self) -> usize {
        self.ejected
    }

    /// A summary per site and kind of host, for other entries.
    pub fn digest(&self) -> Vec<SiteDigest> {
        let mut lines = Vec::new();
        for site in &self.sites {
            for host in [Host::Backend, Host::Worker] {
                let pools = site.host(host);
                if pools.known > 0 {
                    lines.push(SiteDigest {
                        site: site.site.clone(),
                        host,
                        known: pools.known,
                        active: pools.active,
                    });
                }
            }
        }
        lines
    }
}
