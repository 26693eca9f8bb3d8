//! Client of the platform's log: grouped appends, following a stream, recovery and snapshots.
//!
//! HTTP requests are never resent implicitly. After a lost response, the appender searches the
//! stream for the id of the batch before it appends again; an append whose outcome can't be
//! determined in time is reported as [`AppendOutcome::Unknown`].

mod appender;
mod backoff;
mod follower;
mod recover;
mod snapshot;
mod store;

pub use appender::{
    AppendOutcome, AppendSettings, Appender, AppenderTask, NotRecordedReason, Recorded,
};
pub use follower::{FollowEvent, FollowSettings, Follower};
pub use recover::{RecoverError, Recovered, recover};
pub use snapshot::{PendingSnapshot, SnapshotError, SnapshotWriter};
pub use store::{HttpSettings, HttpStore, LogEntry, LogStore, Page, StoreError, Stream};
