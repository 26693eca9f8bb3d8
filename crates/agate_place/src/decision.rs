//! The table of decisions that this crate makes.

use strum::{Display, EnumIter, EnumMessage, IntoStaticStr};

/// One decision; each is a module of its own.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, EnumMessage, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// Which task runs next.
    Queue,
    /// How much a task is given.
    Sizing,
    /// Whether a task can run on any worker at all.
    Impossible,
    /// Which workers may have room.
    Workers,
    /// Which of several workers gets the task.
    Choose,
    /// How much batch work slows urgent work.
    Interference,
    /// What is done against batch work that slows urgent work.
    Eviction,
    /// Whether a failure is the worker's or the job's.
    Blame,
}

impl Decision {
    /// One sentence about the decision.
    pub fn about(self) -> &'static str {
        self.get_documentation().unwrap_or_default()
    }

    /// The section of a preset that tunes the decision, if any.
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
