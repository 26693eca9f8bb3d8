//! Logs the start and the end of an outage of the log, once each.

use std::fmt::Display;

use tokio::time::Instant;

use crate::clock;
use crate::metrics::{Event, Metrics};
use crate::store::Stream;

/// Tracks whether calls of one kind to a stream succeed.
#[derive(Debug)]
pub(crate) struct OutageMonitor {
    stream: Stream,
    call: &'static str,
    outage: Option<(Instant, u64)>,
}

impl OutageMonitor {
    pub const fn new(stream: Stream, call: &'static str) -> Self {
        Self {
            stream,
            call,
            outage: None,
        }
    }

    /// Returns whether the last call failed.
    pub const fn is_failing(&self) -> bool {
        self.outage.is_some()
    }

    /// Records the result of a call.
    pub fn record_result(&mut self, metrics: &Metrics, error: Option<&impl Display>) {
        let Some(error) = error else {
            self.log_recovery();
            return;
        };
        metrics.count(Event::StoreFailed);
        if let Some((_, calls)) = &mut self.outage {
            *calls += 1;
            return;
        }
        self.outage = Some((Instant::now(), 1));
        log::warn!(event = "log_lost", lane:? = self.stream, call = self.call, cause:% = error; "");
    }

    fn log_recovery(&mut self) {
        let Some((since, calls)) = self.outage.take() else {
            return;
        };
        log::info!(
            event = "log_regained", lane:? = self.stream, call = self.call, failed_calls = calls,
            after_ms = clock::millis(since.elapsed()); ""
        );
    }
}
