//! One log line each when the log is lost and when it is regained.

use std::fmt::Display;

use tokio::time::Instant;

use crate::clock;
use crate::metrics::{Event, Metrics};
use crate::store::Stream;

/// Whether calls of one kind to a lane succeed.
#[derive(Debug)]
pub(crate) struct Watch {
    lane: Stream,
    call: &'static str,
    lost: Option<(Instant, u64)>,
}

impl Watch {
    pub const fn new(lane: Stream, call: &'static str) -> Self {
        Self {
            lane,
            call,
            lost: None,
        }
    }

    /// Whether the last call failed.
    pub const fn is_lost(&self) -> bool {
        self.lost.is_some()
    }

    /// Takes the outcome of a call.
    pub fn take(&mut self, metrics: &Metrics, error: Option<&impl Display>) {
        let Some(error) = error else {
            self.regained();
            return;
        };
        metrics.count(Event::StoreFailed);
        if let Some((_, calls)) = &mut self.lost {
            *calls += 1;
            return;
        }
        self.lost = Some((Instant::now(), 1));
        log::warn!(event = "log_lost", lane:? = self.lane, call = self.call, cause:% = error; "");
    }

    fn regained(&mut self) {
        let Some((since, calls)) = self.lost.take() else {
            return;
        };
        log::info!(
            event = "log_regained", lane:? = self.lane, call = self.call, failed_calls = calls,
            after_ms = clock::millis(since.elapsed()); ""
        );
    }
}
