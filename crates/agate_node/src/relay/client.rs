//! A log that falls back to peers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_core::PageSize;
use async_trait::async_trait;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use super::attempts::Target;
use super::direct::DirectLog;
use super::failover::CallResult;
use super::protocol::{
    RelayRequest, RelayResponse, append_request, decode_append, decode_read, newest_request,
    prefix_request, read_request, status,
};
use super::transport::{Transport, TransportError};
use crate::clock;
use crate::metrics::{Event, Metrics};
use crate::store::{
    AppendError, Fence, KeyedLog, NewestRecords, Page, ReadError, StoredRecord, Stream,
};

/// Timeout of an append over all attempts, as long as that of one append at the log.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Timeout of a read over all attempts, in addition to the time that it may wait for records.
const READ_TIMEOUT: Duration = Duration::from_millis(600);

/// Timeout of a load over all attempts. A load takes several calls at the log.
const LOAD_TIMEOUT: Duration = Duration::from_secs(2);

/// Timeout of one attempt at a peer, in addition to the time that a read may wait. Leaves time for
/// another attempt if the peer is paused.
const PEER_TIMEOUT: Duration = Duration::from_millis(500);

/// Timeout of a load at a peer.
const PEER_LOAD_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Timeout of a read of the configuration at a peer, in addition to the wait. A peer with a link of
/// 10 Mbit/s needs 0.75 s for a configuration of 0.9 MB, which is a single record.
const PEER_CONFIG_TIMEOUT: Duration = Duration::from_secs(1);

/// Timeout of a read of the configuration over all attempts, in addition to the wait.
const CONFIG_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Time that an undisturbed peer or log takes to answer a call that does not wait. No attempt
/// begins with less time left.
const MIN_ATTEMPT: Duration = Duration::from_millis(150);

/// Most keys that the log line of an append lists.
const MAX_LISTED_KEYS: usize = 40;

/// Result of an attempt.
enum Attempt<T, E> {
    /// The log has answered, here or at the peer.
    Answered(Result<T, E>),
    /// Another attempt may succeed.
    Failed(E),
}

/// A read with any result.
#[derive(Debug, Clone, Copy)]
enum Query<'a> {
    Page {
        from: u64,
        wait: Duration,
        max_bytes: usize,
    },
    Newest,
    Prefix(&'a str),
}

/// Records and the offset after them.
type Stored = (Vec<StoredRecord>, u64);

/// The log over the process's own connection, or else through a peer. Fenced appends use the own
/// connection only.
#[derive(Debug)]
pub(super) struct RelayedLog {
    direct: Arc<DirectLog>,
    transport: Arc<dyn Transport>,
    metrics: Arc<Metrics>,
}

impl RelayedLog {
    pub fn new(
        direct: Arc<DirectLog>,
        transport: Arc<dyn Transport>,
        metrics: Arc<Metrics>,
    ) -> Self {
        Self {
            direct,
            transport,
            metrics,
        }
    }

    async fn append_at_store(
        &self,
        stream: Stream,
        records: &[(String, Vec<u8>)],
        limit: Duration,
    ) -> Attempt<u64, AppendError> {
        let (result, kind) = self.direct.append(stream, records, limit).await;
        match (result, kind) {
            (Err(error), CallResult::Rejected | CallResult::TimedOut) => Attempt::Failed(error),
            (result, _) => Attempt::Answered(result),
        }
    }

    async fn append_at_peer(
        &self,
        peer: SocketAddr,
        request: RelayRequest,
        limit: Duration,
    ) -> Attempt<u64, AppendError> {
        let response = match self.transport.call(peer, request, limit).await {
            Ok(response) => response,
            Err(error) => {
                self.exclude(peer, &error.to_string());
                return Attempt::Failed(append_error(error));
            }
        };
        match decode_append(&response) {
            Err(error @ (AppendError::NotDone(_) | AppendError::Unknown(_)))
                if response.status != status::QUEUE_FULL =>
            {
                self.exclude(peer, &error.to_string());
                Attempt::Failed(error)
            }
            result => {
                self.record_success(peer);
                Attempt::Answered(result)
            }
        }
    }

    /// Makes attempts until one is answered or the time is over.
    async fn query(&self, stream: Stream, query: Query<'_>) -> Result<Stored, ReadError> {
        let deadline = Instant::now() + query.timeout(stream);
        let mut attempts = self.direct.attempts();
        let mut last_error = ReadError::Unavailable("no time is left".to_owned());
        while let Some(target) = self.direct.next(&mut attempts) {
            let left = deadline.saturating_duration_since(Instant::now());
            if left < MIN_ATTEMPT {
                break;
            }
            let attempt = match target {
                Target::Store => self.query_store(stream, query.shortened(left)).await,
                Target::Peer(peer) => self.query_peer(peer, stream, query, left).await,
            };
            match attempt {
                Attempt::Answered(result) => return result,
                Attempt::Failed(error) => last_error = error,
            }
        }
        Err(last_error)
    }

    async fn query_store(&self, stream: Stream, query: Query<'_>) -> Attempt<Stored, ReadError> {
        let result = match query {
            Query::Page {
                from,
                wait,
                max_bytes,
            } => {
                let page = self.direct.read(stream, from, wait, max_bytes).await;
                page.map(|page| (page.records, page.end))
            }
            Query::Newest => {
                let newest = self.direct.newest(stream).await;
                newest.map(|newest| (newest.records, newest.end))
            }
            Query::Prefix(prefix) => {
                let newest = self.direct.newest_with_prefix(stream, prefix).await;
                newest.map(|newest| (newest.records, newest.end))
            }
        };
        read_attempt(result)
    }

    async fn query_peer(
        &self,
        peer: SocketAddr,
        stream: Stream,
        query: Query<'_>,
        left: Duration,
    ) -> Attempt<Stored, ReadError> {
        let limit = left.min(query.peer_timeout(stream));
        let request = query.shortened(limit).request(stream);
        let response = self.transport.call(peer, request, limit).await;
        let result = response
            .map_err(|error| ReadError::Unavailable(error.to_string()))
            .and_then(|response| query.decode(&response));
        match &result {
            Err(error @ ReadError::Unavailable(_)) => self.exclude(peer, &error.to_string()),
            Ok(_) | Err(ReadError::Deleted) => self.record_success(peer),
        }
        read_attempt(result)
    }

    /// Starts a read at the log that does not wait for records, if one is due. It goes on when the
    /// call that started it has ended. Records of the configuration are too large to be read twice.
    fn start_probe(
        &self,
        stream: Stream,
        from: u64,
    ) -> Option<JoinHandle<Result<Page, ReadError>>> {
        if stream == Stream::Config {
            return None;
        }
        let is_due = self.direct.state().failover.takes_probe(clock::now());
        let direct = Arc::clone(&self.direct);
        let (wait, max_bytes) = (Duration::ZERO, PageSize::MAX_BYTES);
        is_due
            .then(|| tokio::spawn(async move { direct.read(stream, from, wait, max_bytes).await }))
    }

    fn exclude(&self, peer: SocketAddr, cause: &str) {
        let is_new = self.direct.state().peers.exclude(peer, clock::now());
        if is_new {
            log::warn!(event = "peer_failed", peer:% = peer, cause = cause; "");
        }
    }

    fn record_success(&self, peer: SocketAddr) {
        self.metrics.count(Event::RelayUsed);
        let mut state = self.direct.state();
        state.failover.count_relayed(peer);
        state.peers.record_success(peer);
    }
}

#[async_trait]
impl KeyedLog for RelayedLog {
    fn order_streams(&self) -> u16 {
        self.direct.order_streams()
    }

    fn is_relayed(&self) -> bool {
        self.direct.is_in_failover()
    }

    async fn append(
        &self,
        stream: Stream,
        records: &[(String, Vec<u8>)],
        fence: Option<Fence>,
    ) -> Result<u64, AppendError> {
        // A leader behind loaded peers keeps its leadership but schedules nothing, whereas another
        // entry takes over in about two seconds.
        if let Some(fence) = fence {
            return self.direct.append_fenced(stream, records, fence).await;
        }
        let deadline = Instant::now() + APPEND_TIMEOUT;
        let mut attempts = self.direct.attempts();
        let mut failure = None;
        while let Some(target) = self.direct.next(&mut attempts) {
            let left = deadline.saturating_duration_since(Instant::now());
            if left < MIN_ATTEMPT {
                break;
            }
            let attempt = match target {
                Target::Store => self.append_at_store(stream, records, left).await,
                Target::Peer(peer) => match append_request(stream, records) {
                    Ok(request) => {
                        let limit = left.min(PEER_TIMEOUT);
                        self.append_at_peer(peer, request, limit).await
                    }
                    Err(error) => Attempt::Failed(AppendError::NotDone(error.to_string())),
                },
            };
            match attempt {
                Attempt::Answered(Ok(end)) => {
                    log_relayed(target, stream, records, end);
                    return Ok(end);
                }
                Attempt::Answered(Err(error)) => return Err(merge(failure, error)),
                Attempt::Failed(error) => failure = Some(merge(failure, error)),
            }
        }
        Err(failure.unwrap_or_else(|| AppendError::NotDone("no time is left".to_owned())))
    }

    async fn read_page(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<Page, ReadError> {
        let probe = self.start_probe(stream, from);
        let query = Query::Page {
            from,
            wait,
            max_bytes,
        };
        let query = self.query(stream, query);
        let page = |(records, end)| Page { records, end };
        let Some(probe) = probe else {
            return query.await.map(page);
        };
        tokio::select! {
            Ok(result @ (Ok(_) | Err(ReadError::Deleted))) = probe => result,
            result = query => result.map(page),
        }
    }

    async fn newest(&self, stream: Stream) -> Result<NewestRecords, ReadError> {
        let newest = self.query(stream, Query::Newest).await;
        newest.map(|(records, end)| NewestRecords { records, end })
    }

    async fn newest_with_prefix(
        &self,
        stream: Stream,
        prefix: &str,
    ) -> Result<NewestRecords, ReadError> {
        let newest = self.query(stream, Query::Prefix(prefix)).await;
        newest.map(|(records, end)| NewestRecords { records, end })
    }
}

impl Query<'_> {
    const fn wait(self) -> Duration {
        match self {
            Self::Page { wait, .. } => wait,
            Self::Newest | Self::Prefix(_) => Duration::ZERO,
        }
    }

    fn timeout(self, stream: Stream) -> Duration {
        match self {
            Self::Page { .. } if stream == Stream::Config => self.wait() + CONFIG_TIMEOUT,
            Self::Page { .. } | Self::Prefix(_) => self.wait() + READ_TIMEOUT,
            Self::Newest => LOAD_TIMEOUT,
        }
    }

    fn peer_timeout(self, stream: Stream) -> Duration {
        match self {
            Self::Page { .. } if stream == Stream::Config => self.wait() + PEER_CONFIG_TIMEOUT,
            Self::Page { .. } | Self::Prefix(_) => self.wait() + PEER_TIMEOUT,
            Self::Newest => PEER_LOAD_TIMEOUT,
        }
    }

    /// Returns the query with a wait that ends before `limit` is over.
    fn shortened(self, limit: Duration) -> Self {
        match self {
            Self::Page {
                from,
                wait,
                max_bytes,
            } => Self::Page {
                from,
                wait: wait.min(limit.saturating_sub(MIN_ATTEMPT)),
                max_bytes,
            },
            Self::Newest | Self::Prefix(_) => self,
        }
    }

    fn request(self, stream: Stream) -> RelayRequest {
        match self {
            Self::Page { from, wait, .. } => read_request(stream, from, wait),
            Self::Newest => newest_request(stream),
            Self::Prefix(prefix) => prefix_request(stream, prefix),
        }
    }

    /// Decodes a response. A peer of an earlier version ignores the prefix, and its answer need not be a
    /// consistent view.
    fn decode(self, response: &RelayResponse) -> Result<Stored, ReadError> {
        let (records, end) = decode_read(response)?;
        let cause = match self {
            Self::Prefix(prefix) if !records.iter().all(|r| r.key.starts_with(prefix)) => {
                "a record has a key without the prefix"
            }
            Self::Prefix(_) | Self::Newest if !are_ordered(&records, end) => {
                "the offsets of a load are not in order, or are past its end"
            }
            // A reader derives the next offset from the number of records.
            Self::Page { from, .. } if !are_consecutive(&records, from) => {
                "the offsets of a page are not consecutive"
            }
            _ => return Ok((records, end)),
        };
        Err(ReadError::Unavailable(cause.to_owned()))
    }
}

fn are_consecutive(records: &[StoredRecord], from: u64) -> bool {
    let mut expected = (from..).zip(records);
    expected.all(|(at, record)| record.offset == at)
}

/// Returns whether offsets are in order and before `end`. A record whose key is not text may come twice.
fn are_ordered(records: &[StoredRecord], end: u64) -> bool {
    let is_before = records.last().is_none_or(|record| record.offset < end);
    is_before && records.is_sorted_by_key(|record| record.offset)
}

fn read_attempt(result: Result<Stored, ReadError>) -> Attempt<Stored, ReadError> {
    match result {
        Err(error @ ReadError::Unavailable(_)) => Attempt::Failed(error),
        result => Attempt::Answered(result),
    }
}

fn append_error(error: TransportError) -> AppendError {
    match error {
        TransportError::NotSent(cause) => AppendError::NotDone(cause),
        TransportError::Unanswered(cause) => AppendError::Unknown(cause),
    }
}

/// Returns the error of an append after another attempt has failed. It stays unknown if it was.
fn merge(earlier: Option<AppendError>, later: AppendError) -> AppendError {
    match earlier {
        Some(unknown @ AppendError::Unknown(_)) => unknown,
        _ => later,
    }
}

fn log_relayed(target: Target, stream: Stream, records: &[(String, Vec<u8>)], end: u64) {
    let Target::Peer(peer) = target else {
        return;
    };
    let keys = records.iter().take(MAX_LISTED_KEYS);
    let keys: Vec<&str> = keys.map(|(key, _)| key.as_str()).collect();
    log::info!(
        event = "append_relayed", peer:% = peer, lane:% = stream, records = records.len(),
        offset = end, keys:% = keys.join(","); ""
    );
}
