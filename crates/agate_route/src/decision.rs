//! The list of decisions.

use strum::{Display, EnumIter, EnumMessage, IntoStaticStr};

/// Every decision of this crate. The doc comments are shown on reference pages.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumMessage, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// Whether an agent starts, queues or refuses a request, and which waiting request is next.
    Admission,
    /// Which backend server an entry sends a request to.
    Choose,
    /// Which members serve so badly that they get only probes, and when they are back.
    Outlier,
    /// Whether a failed attempt is repeated, and after what pause.
    Retry,
    /// Whether a second attempt is sent while the first has not been answered.
    Hedge,
    /// How much of a deadline is handed to the next hop.
    Budget,
    /// Whether a request may use the link between regions.
    Link,
}

impl Decision {
    /// One sentence about the decision.
    pub fn about(self) -> &'static str {
        self.get_documentation().unwrap_or_default()
    }

    /// The section of a preset that tunes the decision, if any.
    pub const fn section(self) -> Option<&'static str> {
        match self {
            Self::Admission => Some("admission"),
            Self::Choose | Self::Outlier => Some("routing"),
            Self::Retry | Self::Hedge => Some("retries"),
            Self::Link => Some("link"),
            Self::Budget => None,
        }
    }
}
