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
