//! Binding of a key without a ticket to an incarnation.

use std::time::Duration;

use agate_core::Key;
use agate_log::AppendOutcome;
use agate_records::KeyBound;
use agate_route::choose::RefusalReason;

use crate::entry::Entry;
use crate::urgent::routed::no_target_message;
use crate::urgent::{Call, CallOutcome, Ticket};

/// Reason why no binding of a key is known.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BindError {
    /// The log can't be read or written.
    LogDown {
        /// Delay before a retry is worthwhile.
        retry_after: Duration,
    },
    /// There was no member to bind to.
    NoMember(RefusalReason, Duration),
    /// The log may contain a binding, but this could not be determined in time.
    Unknown,
}

/// Retry delay if the log gives none.
const DEFAULT_RETRY: Duration = Duration::from_secs(1);

impl BindError {
    /// Returns the caller's outcome. The key may have been sent before, so this alone does not
    /// prove that the request did not run.
    pub(crate) fn call_outcome(self, call: &Call) -> CallOutcome {
        match self {
            Self::LogDown { retry_after } => {
                let reason = "the log that binds the key is down; a ticket still works";
                CallOutcome::unsent(call.prior_send, reason, retry_after)
            }
            Self::NoMember(reason, retry_after) => {
                CallOutcome::unsent(call.prior_send, no_target_message(reason), retry_after)
            }
            Self::Unknown => {
                let reason = "it is not known yet whether the key is bound";
                CallOutcome::unsent(call.prior_send, reason, DEFAULT_RETRY)
            }
        }
    }
}

/// Returns the binding of `key`, creating one if there is none. The first binding in log order
/// wins.
///
/// # Errors
///
/// Returns the reason why no binding is known.
pub(crate) async fn bind(entry: &Entry, call: &Call, key: Key) -> Result<Ticket, BindError> {
    if let Some(ticket) = find(entry, key) {
        return Ok(ticket);
    }
    if !entry.keys.is_complete() {
        return Err(BindError::LogDown {
            retry_after: DEFAULT_RETRY,
        });
    }
    let target = entry
        .router
        .choose_for_ticket(&entry.members, &call.class, call.deadline.remaining())
        .map_err(|no_target| BindError::NoMember(no_target.reason, no_target.retry_after))?;
    let record = KeyBound {
        key,
        incarnation: target.incarnation,
        address: target.address,
    };
    let outcome = entry.key_writer.appender.append(vec![record.into()]).await;
    match outcome {
        AppendOutcome::Recorded(recorded) => {
            let was_read = entry.keys.wait_until_read(recorded.offset).await;
            let ticket = find(entry, key).filter(|_| was_read);
            ticket.ok_or(BindError::Unknown)
        }
        AppendOutcome::NotRecorded { retry_after, .. } => Err(BindError::LogDown { retry_after }),
        AppendOutcome::Unknown => Err(BindError::Unknown),
    }
}

fn find(entry: &Entry, key: Key) -> Option<Ticket> {
    let binding = entry.keys.get(key)?;
    Some(Ticket {
        key,
        incarnation: binding.incarnation,
        address: binding.address,
    })
}
