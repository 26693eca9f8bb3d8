//! Calls over the process's own connection to the log.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Moment;
use tokio::time::timeout;

use super::attempts::{Attempts, Order, Target};
use super::failover::{CallResult, Failover, Transition};
use super::peers::Peers;
use crate::clock;
use crate::store::{AppendError, Fence, KeyedLog, NewestRecords, Page, ReadError, Stream};

/// Duration, beyond the wait for records, from which a failed call counts as unanswered.
const UNANSWERED_AFTER: Duration = Duration::from_millis(500);

/// Duration from which a rejected append counts as one that the log's queue has no room for. A log
/// that rejects just this process answers within a few milliseconds.
const SLOW_REJECTION: Duration = Duration::from_millis(80);

/// The log over the process's own connection, and the state that its results determine.
#[derive(Debug)]
pub(super) struct DirectLog {
    log: Arc<dyn KeyedLog>,
    state: Mutex<State>,
}

#[derive(Debug)]
pub(super) struct State {
    pub failover: Failover,
    pub peers: Peers,
}

impl DirectLog {
    pub fn new(log: Arc<dyn KeyedLog>, peers: Peers) -> Self {
        let failover = Failover::default();
        Self {
            log,
            state: Mutex::new(State { failover, peers }),
        }
    }

    pub fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn order_streams(&self) -> u16 {
        self.log.order_streams()
    }

    /// Returns whether calls go to a peer first.
    pub fn is_in_failover(&self) -> bool {
        self.state().failover.is_active()
    }

    /// Returns the state of a new call.
    pub fn attempts(&self) -> Attempts {
        Attempts::new(if self.is_in_failover() {
            Order::PeerFirst
        } else {
            Order::StoreFirst
        })
    }

    /// Returns where a call makes its next attempt.
    pub fn next(&self, attempts: &mut Attempts) -> Option<Target> {
        attempts.next(&self.state().peers, clock::now())
    }

    /// Makes the append of a stream's only writer. Its result does not count for the failover state:
    /// a leader that the log does not serve is replaced, and its appends fail without disturbing the
    /// other calls of the process.
    pub async fn append_fenced(
        &self,
        stream: Stream,
        records: &[(String, Vec<u8>)],
        fence: Fence,
    ) -> Result<u64, AppendError> {
        self.log.append(stream, records, Some(fence)).await
    }

    /// Makes an unfenced append.
    pub async fn append(
        &self,
        stream: Stream,
        records: &[(String, Vec<u8>)],
        limit: Duration,
    ) -> (Result<u64, AppendError>, CallResult) {
        let began = clock::now();
        let result = timeout(limit, self.log.append(stream, records, None)).await;
        let result = result.unwrap_or_else(|_elapsed| {
            Err(AppendError::Unknown(format!("timed out after {limit:?}")))
        });
        let kind = append_kind(&result, clock::now().since(began));
        self.record(kind, result.as_ref().err(), began);
        (result, kind)
    }

    pub async fn read(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<Page, ReadError> {
        let began = clock::now();
        let result = self.log.read_page(stream, from, wait, max_bytes).await;
        self.record_read(result.as_ref().err(), began, wait);
        result
    }

    pub async fn newest(&self, stream: Stream) -> Result<NewestRecords, ReadError> {
        let began = clock::now();
        let result = self.log.newest(stream).await;
        self.record_read(result.as_ref().err(), began, Duration::ZERO);
        result
    }

    pub async fn newest_with_prefix(
        &self,
        stream: Stream,
        prefix: &str,
    ) -> Result<NewestRecords, ReadError> {
        let began = clock::now();
        let result = self.log.newest_with_prefix(stream, prefix).await;
        self.record_read(result.as_ref().err(), began, Duration::ZERO);
        result
    }

    fn record_read(&self, error: Option<&ReadError>, began: Moment, wait: Duration) {
        let kind = match error {
            None | Some(ReadError::Deleted) => CallResult::Answered,
            Some(_) if clock::now().since(began) >= wait + UNANSWERED_AFTER => CallResult::TimedOut,
            Some(_) => CallResult::Rejected,
        };
        self.record(kind, error, began);
    }

    fn record(&self, kind: CallResult, error: Option<&impl ToString>, began: Moment) {
        let cause = error.map(ToString::to_string).unwrap_or_default();
        let now = clock::now();
        let mut state = self.state();
        let transition = state.failover.record(kind, &cause, began, now);
        let peer = state.peers.choose(now);
        drop(state);
        match transition {
            Some(Transition::Started) => log::warn!(
                event = "failover_started", cause:% = cause, peer:% = name(peer);
                "calls to the log go to a peer first"
            ),
            Some(Transition::Ended(ended)) => log::info!(
                event = "failover_ended", cause:% = ended.cause, peer:% = name(ended.peer),
                calls = ended.calls, after_ms = clock::millis(ended.lasted); ""
            ),
            None => {}
        }
    }
}

fn append_kind(result: &Result<u64, AppendError>, took: Duration) -> CallResult {
    match result {
        Ok(_) => CallResult::Answered,
        Err(_) if took >= UNANSWERED_AFTER => CallResult::TimedOut,
        Err(AppendError::NotDone(_)) if took >= SLOW_REJECTION => CallResult::QueueFull,
        Err(_) => CallResult::Rejected,
    }
}

fn name(peer: Option<SocketAddr>) -> String {
    peer.map_or_else(|| "none".to_owned(), |peer| peer.to_string())
}
