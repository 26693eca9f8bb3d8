//! The fault driver: runs load on a small site while injecting faults into processes, connections
//! and the log.

mod batch;
mod check;
mod directory;
mod drive;
mod fault;
mod inject;
mod operators;
mod urgent;

pub use drive::{DriveError, drive};
pub use fault::Fault;
