//! Messages of workers that are not believed.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use tokio::time::Instant;

use crate::metrics::{Event, Metrics};

/// Time between two log lines of a kind.
const LOG_PERIOD: Duration = Duration::from_secs(10);

/// Number of characters of a text that are logged.
const MAX_LOGGED_CHARS: usize = 128;

/// Why a message of a worker was rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Doubt {
    /// It is malformed.
    Unreadable,
    /// It was not received as a whole.
    Cut,
    /// It is of an earlier incarnation than the known one.
    EarlierIncarnation,
    /// Another worker or incarnation answers at its address.
    Refuted,
    /// Nobody answers at its address.
    Unanswered,
    /// It names another address than the one at which this incarnation answers.
    OtherAddress,
    /// Its number is lower than that of an earlier one, or far higher.
    OutOfSequence,
    /// The agent manages as many workers as it can.
    TooManyWorkers,
    /// It says that the worker has left, but the worker answers.
    StillAnswers,
    /// The worker's clock has jumped.
    ClockJump,
    /// It lists ends whose numbers are too high.
    EndNumbers,
}

/// Counts rejected messages, and logs one of each kind in [`LOG_PERIOD`].
#[derive(Debug, Default)]
pub(super) struct Doubts(Mutex<HashMap<Doubt, LoggedDoubt>>);

#[derive(Debug)]
struct LoggedDoubt {
    at: Instant,
    /// Rejections since then that were not logged.
    unlogged: u64,
}

impl Doubts {
    /// Records that a message about `worker` was rejected.
    pub fn record(&self, metrics: &Metrics, doubt: Doubt, worker: &str, detail: &dyn Display) {
        metrics.count(Event::MessageRejected);
        let Some(unlogged) = self.due(doubt) else {
            return;
        };
        let (worker, detail) = (shorten(worker), shorten(&detail.to_string()));
        log::warn!(
            event = "worker_message_rejected", cause:% = doubt, worker = worker.as_str(),
            detail = detail.as_str(), unlogged = unlogged; ""
        );
    }

    /// Returns the number of unlogged rejections if the next one is to be logged.
    fn due(&self, doubt: Doubt) -> Option<u64> {
        let mut logged = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let known = logged.get_mut(&doubt);
        if let Some(known) = known.filter(|known| known.at.elapsed() < LOG_PERIOD) {
            known.unlogged += 1;
            return None;
        }
        let at = Instant::now();
        let before = logged.insert(doubt, LoggedDoubt { at, unlogged: 0 });
        Some(before.map_or(0, |before| before.unlogged))
    }
}

/// Returns the beginning of a text that another writer may have sent.
fn shorten(text: &str) -> String {
    text.chars().take(MAX_LOGGED_CHARS).collect()
}
