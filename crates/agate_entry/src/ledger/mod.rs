//! The state folded from the log, and writes to the log.

mod commit;
mod folded;
mod follow;
mod snapshot;
mod writers;

pub(crate) use commit::{Commit, CommitError};
pub(crate) use folded::Folded;
pub(crate) use follow::follow;
pub(crate) use snapshot::write_snapshots;
pub(crate) use writers::{Writer, append};
