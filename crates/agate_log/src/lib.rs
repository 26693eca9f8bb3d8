//! Client of the platform's log: grouped appends, following a stream, recovery and snapshots.
//!
//! Nothing here resends behind the caller's back. An append whose answer is lost is settled by
//! reading the stream for the id of its batch, and what can't be settled in time is reported as
//! [`AppendOutcome::Unknown`].

mod appender;
mod backoff;
mod follower;
mod recover;
mod snapshot;
mod store;

pub use appender::{
    AppendOutcome, AppendSettings, Appender, AppenderTask, NotRecordedReason, Recorded,
};
pub use follower::{FollowSettings, Followed, Follower};
pub use recover::{RecoverError, Recovered, recover};
pub use snapshot::{PendingSnapshot, SnapshotError, SnapshotWriter};
pub use store::{Entry, HttpSettings, HttpStore, LogStore, Page, StoreError, Stream};
