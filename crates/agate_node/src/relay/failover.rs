//! Decides whether calls go to the log or to a peer first.
//!
//! Answers the load that arises while the log rejects or ignores this process but serves others.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::Moment;

/// Consecutive rejections that start a failover.
const MAX_REJECTIONS: u32 = 2;

/// Time between calls to the log during a failover.
const PROBE_PERIOD: Duration = Duration::from_secs(1);

/// Result of a call to the log, as far as a failover depends on it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallResult {
    /// The log processed the call.
    Answered,
    /// The log rejected the call at once, or was not reached.
    Rejected,
    /// The log rejected the call late, because too many are queued. It does so for every process.
    QueueFull,
    /// The log did not answer.
    TimedOut,
}

/// A change of the state.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Transition {
    /// A failover began.
    Started,
    /// A failover ended.
    Ended(EndedFailover),
}

/// Summary of a failover.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EndedFailover {
    /// The error that started it.
    pub cause: String,
    /// How long it lasted.
    pub lasted: Duration,
    /// Calls that peers served.
    pub calls: u64,
    /// The peer that served the last of them.
    pub peer: Option<SocketAddr>,
}

#[derive(Debug)]
struct Active {
    since: Moment,
    /// The time from which the period of the next probe counts; `None` if one is due at once.
    probed_at: Option<Moment>,
    cause: String,
    calls: u64,
    peer: Option<SocketAddr>,
}

/// State of the connection to the log.
#[derive(Debug, Default)]
pub struct Failover {
    rejections: u32,
    /// When the latest call that the log processed began.
    answered: Moment,
    active: Option<Active>,
}

impl Failover {
    /// Returns whether calls go to a peer first.
    pub const fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// Returns whether a call should be made at the log beside the peer; at most once a second.
    pub fn takes_probe(&mut self, now: Moment) -> bool {
        let Some(active) = &mut self.active else {
            return false;
        };
        let is_due = active
            .probed_at
            .is_none_or(|at| now.since(at) >= PROBE_PERIOD);
        if is_due {
            active.probed_at = Some(now);
        }
        is_due
    }

    /// Counts a call that a peer served.
    pub fn count_relayed(&mut self, peer: SocketAddr) {
        if let Some(active) = &mut self.active {
            active.calls += 1;
            active.peer = Some(peer);
        }
    }

    /// Applies the result of a call to the log that began at `began`. Results of calls that began
    /// before the newest known state are ignored: a long poll may end late.
    pub fn record(
        &mut self,
        result: CallResult,
        cause: &str,
        began: Moment,
        now: Moment,
    ) -> Option<Transition> {
        match result {
            CallResult::Answered => self.record_answer(began, now),
            CallResult::QueueFull => None,
            CallResult::Rejected | CallResult::TimedOut if began < self.answered => None,
            CallResult::Rejected => {
                self.rejections += 1;
                let is_repeated = self.rejections >= MAX_REJECTIONS;
                is_repeated
                    .then(|| self.start(cause, now, Some(now)))
                    .flatten()
            }
            // A log that is only slow answers reads, so the first probe is due at once.
            CallResult::TimedOut => self.start(cause, now, None),
        }
    }

    fn record_answer(&mut self, began: Moment, now: Moment) -> Option<Transition> {
        if self
            .active
            .as_ref()
            .is_some_and(|active| began < active.since)
        {
            return None;
        }
        self.answered = self.answered.max(began);
        self.rejections = 0;
        let active = self.active.take()?;
        Some(Transition::Ended(EndedFailover {
            lasted: now.since(active.since),
            cause: active.cause,
            calls: active.calls,
            peer: active.peer,
        }))
    }

    fn start(&mut self, cause: &str, now: Moment, probed_at: Option<Moment>) -> Option<Transition> {
        if self.is_active() {
            return None;
        }
        self.active = Some(Active {
            since: now,
            probed_at,
            cause: cause.to_owned(),
            calls: 0,
            peer: None,
        });
        Some(Transition::Started)
    }
}
