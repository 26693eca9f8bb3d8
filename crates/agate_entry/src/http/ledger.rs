//! Responses for records that could not be committed.

use std::time::Duration;

use http::StatusCode;

use super::reply::{self, Reply};
use crate::ledger::CommitError;

/// Retry delay if the outcome of a write is unknown.
const RETRY: Duration = Duration::from_secs(1);

/// Returns the response for a failed commit. Writes are idempotent, so the caller may retry.
pub(crate) fn commit_failed(error: CommitError) -> Reply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    match error {
        CommitError::NotRecorded { retry_after } => {
            let message = "the log does not take records now; nothing was changed";
            reply::with_retry(reply::problem(status, "log-down", message), retry_after)
        }
        CommitError::Unknown => {
            let message = "the log may hold the change, but this could not be found out in time; \
                           look, or send the same again";
            reply::with_retry(reply::problem(status, "unknown", message), RETRY)
        }
    }
}
