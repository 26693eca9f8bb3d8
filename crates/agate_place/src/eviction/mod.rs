//! Throttling and eviction of batch work that slows urgent work.
//!
//! Each worker escalates from throttle to evict with a checkpoint, and then to stop. A step follows
//! only once the slowdown has stayed above its threshold for the hold time, counting only readings
//! taken after the previous step. Readings lag, and older ones would punish the next run for the
//! interference of the last one. A throttle is released once the slowdown has stayed below the
//! release threshold. If urgent work slows down again soon after, the next release waits twice as
//! long.

mod pressure;
mod victim;

pub use pressure::PressureLevel;
pub use victim::{Candidate, choose_victim};

pub(crate) use pressure::Pressure;

/// Maximum share of the workers with evictions in progress, in percent.
pub const MAX_EVICTING_PERCENT: usize = 10;

/// An action against a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum StepKind {
    /// Slow the run down.
    Throttle,
    /// Lift a throttle.
    Release,
    /// Checkpoint the run, then end it.
    Evict,
    /// End the run without a checkpoint.
    Stop,
}
