//! The list of decisions.

use strum::{Display, EnumIter, EnumMessage, IntoStaticStr};

/// A decision made by this crate. The variants' doc comments appear on the reference page.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumMessage, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// Whether an agent starts, queues or refuses a request, and which queued request runs next.
    Admission,
    /// Which backend server an entry sends a request to.
    Choose,
    /// Which members are ejected for slow or failed answers, and when they are reinstated.
    Outlier,
    /// Whether a failed attempt is retried, and after what backoff.
    Retry,
    /// Whether a second attempt is sent while the first is unanswered.
    Hedge,
    /// How much of the time to the deadline is handed to the next hop.
    Budget,
    /// Whether a request may use the link between regions.
    Link,
}

impl Decision {
    /// Returns a one-sentence description of the decision.
    pub fn about(self) -> &'static str {
        self.get_documentation().unwrap_or_default()
    }

    /// Returns the preset section that configures the decision, if any.
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
