//! Chooses the backend server that an entry sends a request to.
//!
//! A few candidates are drawn by weight, and the one with the earliest expected answer is chosen.
//! The expectation combines each member's last reported load, discounted by its age, the requests
//! that this entry has sent since, and the measured round-trip time. Drawing a few candidates
//! instead of taking the best of all members keeps entries from sending everything to the same
//! member.

mod chooser;
mod estimate;
mod request;
mod traffic;

pub use chooser::Chooser;
pub use estimate::Estimate;
pub use request::{Choice, RefusalReason, Request};
