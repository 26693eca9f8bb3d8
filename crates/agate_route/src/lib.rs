//! Decisions about urgent requests: admission control at the agent; load balancing, outlier
//! ejection, retries and hedging at the entry.
//!
//! Each decision has its own module and is listed in [`Decision`]. This crate does no I/O and reads
//! no clock; callers pass in the time and the random number generator.

pub mod admission;
pub mod budget;
pub mod choose;
mod decision;
mod ewma;
pub mod link;
pub mod outlier;
mod per_class;
mod quantile;
pub mod retry;

pub use decision::Decision;
pub use quantile::QuantileEstimator;
