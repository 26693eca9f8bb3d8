//! Replies about records that could not be written or read back.

use std::time::Duration;

use http::StatusCode;

use super::reply::{self, Reply};
use crate::ledger::CommitError;

/// When to come back if it is not known what became of a record.
const RETRY: Duration = Duration::from_secs(1);

/// Tells that it is not known what a record did. Every write is idempotent, so it can be repeated.
pub(crate) fn failed(error: CommitError) -> Reply {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    match error {
        CommitError::NotRecorded { retry } => {
            let message = "the log does not take records now; nothing was changed";
            reply::with_retry(reply::problem(status, "log-down", message), retry)
        }
        CommitError::Unknown => {
            let message = "the log may hold the change, but this could not be found out in time; \
                           look, or send the same again";
            reply::with_retry(reply::problem(status, "unknown", message), RETRY)
        }
    }
}
