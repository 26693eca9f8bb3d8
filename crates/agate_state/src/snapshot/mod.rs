//! Snapshots of the state, written to the log in parts.
//!
//! A snapshot contains the open jobs and the bounded sets of the fold but no history. Folding the
//! rest of the log from a snapshot gives the same state as folding the whole log.

mod encode;
mod load;
mod restore;

pub use load::SnapshotLoader;
pub use restore::SnapshotError;
