//! The order in which jobs are served.

use strum::{Display, EnumString, VariantNames};

/// Order in which the scheduler serves jobs of the same priority.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum BatchOrder {
    /// Each job by its own timeliness and objective.
    #[default]
    Urgency,
    /// Best-effort jobs by a plan over all of them.
    Backlog,
}
