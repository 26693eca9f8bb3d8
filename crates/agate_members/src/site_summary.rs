//! Summary of a site for other entries.

use agate_core::{Host, Site};

use crate::Occupancy;

/// Summary of the members of one site and one kind of host. It is small enough to send across
/// regions.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SiteSummary {
    /// The site.
    pub site: Site,
    /// The kind of host that the agents run beside.
    pub host: Host,
    /// Number of known members.
    pub known: u32,
    /// Occupancy of the members that may get new work.
    pub active: Occupancy,
}
