//! Classes of jobs in a plan.

use strum::{Display, EnumIter};

/// Class of a job in a plan. Lower ones are served first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, EnumIter)]
#[strum(serialize_all = "snake_case")]
pub enum Standing {
    /// The job has waited longer than its bound.
    Overdue,
    /// The job is in the set of jobs that can finish within their objectives together.
    Selected,
    /// The job can finish within its late limit after the selected ones.
    Late,
    /// The job is served with what the others leave.
    Postponed,
}
