//! Distance to a member.

use agate_core::Site;
use strum::{Display, EnumIter};

/// Distance between two processes, nearest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Scope {
    /// The same availability zone.
    Zone,
    /// Another availability zone of the same region.
    Region,
    /// Another region, reached over a link that is billed by volume.
    Remote,
}

impl Scope {
    /// Returns the distance between two sites.
    pub fn between(here: &Site, there: &Site) -> Self {
        if here.region != there.region {
            Self::Remote
        } else if here.zone != there.zone {
            Self::Region
        } else {
            Self::Zone
        }
    }
}
