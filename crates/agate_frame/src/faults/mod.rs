//! The fault driver: load on a small site while processes, connections and the log fail.

mod batch;
mod directory;
mod drive;
mod fault;
mod inject;
mod operators;
mod urgent;
mod verdict;

pub use drive::{DriveError, drive};
pub use fault::Fault;
