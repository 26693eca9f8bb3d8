//! Which backend server an entry sends a request to.
//!
//! A few candidates are drawn by weight and the one with the earliest expected answer is taken.
//! The expectation rests on the load that each member last told, aged by the time since, on what
//! this entry has sent there since, and on the measured delay. Drawing a few members rather than
//! scanning for the best keeps entries from all running to the same one.

mod chooser;
mod estimate;
mod flow;
mod request;

pub use chooser::Chooser;
pub use estimate::Estimate;
pub use request::{Choice, RefusalReason, Request};
