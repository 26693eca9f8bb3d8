//! Makes calls to the log for other processes.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Semaphore, SemaphorePermit};

use super::direct::DirectLog;
use super::failover::CallResult;
use super::outgoing::{InFlight, OutgoingBody};
use super::protocol::{
    Call, RelayRequest, RelayResponse, append_response, decode_call, read_response, status,
};
use crate::metrics::{Event, Metrics};
use crate::store::Stream;

/// Most calls in progress for others. Each holds a connection to the log and up to a page.
const MAX_CALLS: usize = 128;

/// Most loads in progress for others. Each holds all records of a stream.
const MAX_LOADS: usize = 4;

/// Size of a relayed page: 0.1 s on a link of 10 Mbit/s in each direction, so that the peer answers within
/// the caller's time limit.
const PAGE_BYTES: usize = 128 * 1_024;

/// Bytes of responses in flight from which further reads are refused: 0.4 s on a link of 10 Mbit/s.
const MAX_IN_FLIGHT: usize = 512 * 1_024;

/// Longest wait of a relayed read, above that of every reader.
const MAX_WAIT: Duration = Duration::from_secs(2);

/// Timeout of a relayed append. The process that asked for it waits for less.
const APPEND_TIMEOUT: Duration = Duration::from_millis(800);

/// Serves other processes over the process's own connection to the log. It keeps no records and
/// never passes a call on to another relay.
#[derive(Debug)]
pub struct RelayServer {
    direct: Arc<DirectLog>,
    metrics: Arc<Metrics>,
    calls: Semaphore,
    loads: Semaphore,
    in_flight: InFlight,
}

impl RelayServer {
    pub(super) fn new(direct: Arc<DirectLog>, metrics: Arc<Metrics>) -> Self {
        Self {
            direct,
            metrics,
            calls: Semaphore::new(MAX_CALLS),
            loads: Semaphore::new(MAX_LOADS),
            in_flight: InFlight::default(),
        }
    }

    /// Returns the body of a response that is about to be sent. It counts as in flight until it is dropped.
    pub fn outgoing(&self, body: Vec<u8>) -> OutgoingBody {
        self.in_flight.add(body)
    }

    /// Makes a call at the log and returns its result.
    pub async fn handle(&self, request: &RelayRequest) -> RelayResponse {
        let call = match decode_call(request) {
            Ok(call) => call,
            Err(response) => return response,
        };
        if !self.has_stream(&call) {
            return RelayResponse::failure(status::MALFORMED, "there is no such stream");
        }
        let _permit = match self.admit(&call) {
            Ok(permit) => permit,
            Err(cause) => {
                self.metrics.count(Event::RelayRefused);
                return RelayResponse::failure(status::UNAVAILABLE, cause);
            }
        };
        self.metrics.count(Event::RelayServed);
        match call {
            Call::Append { stream, records } => self.append(stream, &records).await,
            Call::Read { stream, from, wait } => {
                let wait = wait.min(MAX_WAIT);
                let page = self.direct.read(stream, from, wait, PAGE_BYTES).await;
                read_response(page.as_ref().map(|page| (&*page.records, page.end)))
            }
            Call::Newest { stream } => {
                let newest = self.direct.newest(stream).await;
                read_response(newest.as_ref().map(|newest| (&*newest.records, newest.end)))
            }
            Call::NewestWithPrefix { stream, prefix } => {
                let newest = self.direct.newest_with_prefix(stream, &prefix).await;
                read_response(newest.as_ref().map(|newest| (&*newest.records, newest.end)))
            }
        }
    }

    /// Returns whether the stream of a call exists. The log's rejections of calls to others would
    /// start a failover of this process.
    fn has_stream(&self, call: &Call) -> bool {
        let (Call::Append { stream, .. }
        | Call::Read { stream, .. }
        | Call::Newest { stream }
        | Call::NewestWithPrefix { stream, .. }) = call;
        match stream {
            Stream::Orders(number) => *number < self.direct.order_streams(),
            Stream::Main | Stream::Config => true,
        }
    }

    /// Returns a permit for a call, or why it is refused.
    fn admit(&self, call: &Call) -> Result<SemaphorePermit<'_>, &'static str> {
        if self.direct.is_in_failover() {
            return Err("the log does not serve this process");
        }
        let is_append = matches!(call, Call::Append { .. });
        if !is_append && self.in_flight.bytes() >= MAX_IN_FLIGHT {
            return Err("too many calls");
        }
        let permits = match call {
            Call::Append { .. } | Call::Read { .. } | Call::NewestWithPrefix { .. } => &self.calls,
            Call::Newest { .. } => &self.loads,
        };
        permits.try_acquire().map_err(|_none| "too many calls")
    }

    async fn append(&self, stream: Stream, records: &[(String, Vec<u8>)]) -> RelayResponse {
        let append = self.direct.append(stream, records, APPEND_TIMEOUT);
        match append.await {
            (Err(error), CallResult::QueueFull) => {
                RelayResponse::failure(status::QUEUE_FULL, &error)
            }
            (result, _) => append_response(&result),
        }
    }
}
