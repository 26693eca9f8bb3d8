//! A summary of one site for other entries.

use agate_core::{Host, Site};

use crate::Occupancy;

/// What a view holds of one site and one kind of host, small enough to cross a region link.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteSummary {
    /// The site.
    pub site: Site,
    /// What the agents run beside.
    pub host: Host,
    /// Members known.
    pub known: u32,
    /// Sums over the members that may get new work.
    pub active: Occupancy,
}
