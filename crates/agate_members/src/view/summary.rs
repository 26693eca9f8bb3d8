//! Occupancy and summaries of members.

use agate_core::Host;

use super::{CandidateQuery, View};
use crate::pool::Pool;
use crate::{Occupancy, SiteSummary};

impl View {
    /// Returns the occupancy of the members that match `query`.
    pub fn occupancy(&self, query: &CandidateQuery<'_>) -> Occupancy {
        let totals = self.pools(query).map(Pool::totals);
        totals.fold(Occupancy::default(), Occupancy::plus)
    }

    /// Returns the occupancy of all members of one kind of host that may get new work.
    pub fn active_occupancy(&self, host: Host) -> Occupancy {
        let totals = self.sites.iter().map(|site| site.host(host).active);
        totals.fold(Occupancy::default(), Occupancy::plus)
    }

    /// Returns the number of ejected members.
    pub const fn ejected_count(&self) -> usize {
        self.ejected
    }

    /// Returns a summary per site and kind of host, for other entries.
    pub fn site_summaries(&self) -> Vec<SiteSummary> {
        let mut summaries = Vec::new();
        for site in &self.sites {
            for host in [Host::Backend, Host::Worker] {
                let pools = site.host(host);
                if pools.known > 0 {
                    summaries.push(SiteSummary {
                        site: site.site.clone(),
                        host,
                        known: pools.known,
                        active: pools.active,
                    });
                }
            }
        }
        summaries
    }
}
