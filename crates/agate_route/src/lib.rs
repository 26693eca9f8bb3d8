//! Decisions about urgent requests: admission at the agent; choice of a backend server, ejection
//! of slow ones, retries and hedges at the entry.
//!
//! Each decision is a module of its own, listed in [`Decision`]. Nothing here does I/O or reads a
//! clock: moments and random numbers are passed in.

pub mod admission;
pub mod budget;
pub mod choose;
mod decision;
pub mod link;
pub mod outlier;
mod per_class;
mod quantile;
pub mod retry;
mod smoothed;

pub use decision::Decision;
pub use quantile::QuantileEstimator;
