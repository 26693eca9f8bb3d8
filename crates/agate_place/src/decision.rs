//! The table of decisions that this crate makes.

use strum::{Display, EnumIter, IntoStaticStr};

/// One decision; each is a module of its own.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, EnumIter, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Decision {
    /// Which task runs next: [`crate::queue`].
    Queue,
    /// How much a task is given: [`crate::sizing`].
    Sizing,
    /// Whether a task can run on any worker at all: [`crate::impossible`].
    Impossible,
    /// Which workers may have room: [`crate::workers`].
    Workers,
    /// Which of several workers gets the task: [`crate::choose`].
    Choose,
    /// How much batch work slows urgent work: [`crate::interference`].
    Interference,
    /// What is done against batch work that slows urgent work: [`crate::eviction`].
    Eviction,
    /// Whether a failure is the worker's or the job's: [`crate::blame`].
    Blame,
}
