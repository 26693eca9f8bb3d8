//! What is done against batch work that slows urgent work.
//!
//! Per worker the steps are throttle, then evict with a checkpoint, then stop. Each follows only when
//! the measured slowdown has stood above its threshold for the hold time, by readings taken after the
//! last step: readings lag, and acting on older ones would punish the next run for the last one's
//! noise. A step is taken back when the slowdown has stood below the release threshold; if trouble
//! returns soon after, the next release waits twice as long.

mod pressure;
mod victim;

pub use pressure::PressureLevel;
pub use victim::{Candidate, choose_victim};

pub(crate) use pressure::Pressure;

/// Largest share of the workers on which evictions are under way at once, in percent.
pub const MAX_EVICTING_PERCENT: usize = 10;

/// What is done to a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display, strum::EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum StepKind {
    /// Slow it down.
    Throttle,
    /// Take a throttle back.
    Release,
    /// Checkpoint it, then end it.
    Evict,
    /// End it without a checkpoint.
    Stop,
}
