//! Binding of a bare key to an incarnation.

use std::time::Duration;

use agate_core::Key;
use agate_log::AppendOutcome;
use agate_records::KeyBound;
use agate_route::choose::RefusalReason;

use crate::entry::Entry;
use crate::urgent::chosen::none_text;
use crate::urgent::{Call, Ending, Ticket};

/// Why a key has no binding that this entry knows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum BindError {
    /// The log can't be read or written.
    LogDown {
        /// When it is worth coming back.
        retry: Duration,
    },
    /// No member could be bound to.
    NoMember(RefusalReason, Duration),
    /// The log may hold a binding, but this could not be found out in time.
    Unknown,
}

/// When to come back if the log does not say.
const RETRY: Duration = Duration::from_secs(1);

impl BindError {
    /// What the caller is told. The key may have been sent before, so nothing is proved.
    pub(crate) fn ending(self, call: &Call) -> Ending {
        match self {
            Self::LogDown { retry } => {
                let reason = "the log that binds the key is down; a ticket still works";
                Ending::unsent(call.sent, reason, retry)
            }
            Self::NoMember(reason, retry) => Ending::unsent(call.sent, none_text(reason), retry),
            Self::Unknown => {
                let reason = "it is not known yet whether the key is bound";
                Ending::unsent(call.sent, reason, RETRY)
            }
        }
    }
}

/// Finds what `key` is bound to, or binds it. The first binding in log order wins.
///
/// # Errors
///
/// Returns why no binding is known.
pub(crate) async fn bind(entry: &Entry, call: &Call, key: Key) -> Result<Ticket, BindError> {
    if let Some(ticket) = bound(entry, key) {
        return Ok(ticket);
    }
    if !entry.keys.is_whole() {
        return Err(BindError::LogDown { retry: RETRY });
    }
    let target = entry
        .router
        .pick(&entry.members, &call.class, call.deadline.left())
        .map_err(|none| BindError::NoMember(none.reason, none.retry))?;
    let record = KeyBound {
        key,
        incarnation: target.incarnation,
        address: target.address,
    };
    let outcome = entry.key_writer.appender.append(vec![record.into()]).await;
    match outcome {
        AppendOutcome::Recorded(recorded) => {
            let read = entry.keys.read_past(recorded.offset).await;
            let ticket = bound(entry, key).filter(|_| read);
            ticket.ok_or(BindError::Unknown)
        }
        AppendOutcome::NotRecorded { retry_after, .. } => {
            Err(BindError::LogDown { retry: retry_after })
        }
        AppendOutcome::Unknown => Err(BindError::Unknown),
    }
}

fn bound(entry: &Entry, key: Key) -> Option<Ticket> {
    let binding = entry.keys.get(key)?;
    Some(Ticket {
        key,
        incarnation: binding.incarnation,
        address: binding.address,
    })
}
