//! The fault driver: load on a small site while processes, connections and the log fail.

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
