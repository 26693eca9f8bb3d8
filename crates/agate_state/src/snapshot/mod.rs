//! Snapshots: the state as parts that are written to the log, and back.
//!
//! A snapshot holds what is open and the bounded memories of the fold, never its history. Folding
//! on from a snapshot gives the same state as folding everything.

mod encode;
mod load;
mod restore;

pub use load::SnapshotLoader;
pub use restore::SnapshotError;
