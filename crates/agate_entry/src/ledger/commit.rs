//! Writes of records with confirmation of their effects.

use std::time::Duration;

use agate_log::{AppendOutcome, Appender};
use agate_records::Body;
use agate_state::Effect;
use displaydoc::Display;

use super::Folded;

/// Retry delay while the state is being rebuilt; equals the default for refused appends.
const REBUILD_RETRY: Duration = Duration::from_secs(1);

/// Reason why the effect of a record is unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(crate) enum CommitError {
    /// the log does not take records now
    NotRecorded {
        /// Delay before a retry is worthwhile.
        retry_after: Duration,
    },
    /// the log may hold the record, but this could not be found out in time
    Unknown,
}

impl std::error::Error for CommitError {}

/// Writes records to the main stream and returns their effects.
#[derive(Debug)]
pub(crate) struct Commit<'a> {
    pub(crate) appender: &'a Appender,
    pub(crate) folded: &'a Folded,
}

impl Commit<'_> {
    /// Writes one record and returns its effect.
    ///
    /// # Errors
    ///
    /// Returns [`CommitError`] if the effect is unknown.
    pub(crate) async fn write_one(&self, body: impl Into<Body>) -> Result<Effect, CommitError> {
        let mut effects = self.write_all(vec![body.into()]).await?;
        effects.pop().ok_or(CommitError::Unknown)
    }

    /// Writes records in one append and returns their effects.
    ///
    /// # Errors
    ///
    /// Returns [`CommitError`] if the effects are unknown.
    pub(crate) async fn write_all(&self, bodies: Vec<Body>) -> Result<Vec<Effect>, CommitError> {
        if !self.folded.wait_until_rebuilt().await {
            return Err(CommitError::NotRecorded {
                retry_after: REBUILD_RETRY,
            });
        }
        let count = u32::try_from(bodies.len()).unwrap_or(u32::MAX);
        match self.appender.append(bodies).await {
            AppendOutcome::Recorded(recorded) => {
                let effects = self.folded.wait_for_effects(recorded, count).await;
                effects.ok_or(CommitError::Unknown)
            }
            AppendOutcome::NotRecorded { retry_after, .. } => {
                Err(CommitError::NotRecorded { retry_after })
            }
            AppendOutcome::Unknown => Err(CommitError::Unknown),
        }
    }
}
