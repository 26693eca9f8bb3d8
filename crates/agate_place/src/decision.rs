//! The decisions that this crate makes.

use strum::{Display, EnumIter, EnumMessage, IntoStaticStr};

/// A scheduling decision. Each has its own module.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumMessage, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// Which task runs next.
    Queue,
    /// How many resources a task gets.
    Sizing,
    /// Whether a task can run on any worker at all.
    Impossible,
    /// Which workers may have enough free capacity.
    Workers,
    /// Which of several candidate workers gets the task.
    Choose,
    /// How much batch work slows urgent work.
    Interference,
    /// How batch work that slows urgent work is throttled or evicted.
    Eviction,
    /// Whether a worker or a job causes a failure.
    Blame,
}

impl Decision {
    /// Returns a one-sentence description.
    pub fn about(self) -> &'static str {
        self.get_documentation().unwrap_or_default()
    }

    /// Returns the preset section that configures the decision, if any.
    pub const fn section(self) -> Option<&'static str> {
        match self {
            Self::Queue | Self::Sizing | Self::Workers | Self::Choose | Self::Blame => {
                Some("placement")
            }
            Self::Interference => Some("interference"),
            Self::Eviction => Some("eviction"),
            Self::Impossible => None,
        }
    }
}
