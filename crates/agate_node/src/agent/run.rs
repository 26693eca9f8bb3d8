//! A run that was ordered from this agent.

use std::time::Duration;

use tokio::time::Instant;

use super::stall::Progress;

/// Phase of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Phase {
    /// The start has been sent.
    Starting,
    /// The start has got no answer so far and is sent again while its window lasts.
    Resending,
    /// The worker answered the start at this boot time.
    Started(Duration),
    /// A stop has been sent.
    Stopping,
    /// The worker answered the stop at this boot time.
    Stopped(Duration),
    /// The start had got no answer by this boot time.
    Unconfirmed(Duration),
    /// The end is being recorded or is recorded.
    Ended,
}

/// A run that was ordered from this agent.
#[derive(Debug, Clone)]
pub(super) struct Run {
    pub number: u32,
    pub phase: Phase,
    /// When it was first known to run, or when its start was sent.
    pub since: Instant,
    pub progress: Progress,
    /// Newest checkpoint that the worker has listed and that can be recorded; empty if there is none.
    pub checkpoint: String,
    /// Whether the worker has listed one that can't be.
    pub long_checkpoint: bool,
    /// Whether it was stopped for lack of progress.
    pub stalled: bool,
    /// Number of consecutive lists, requested after the worker's answer, that lacked the run.
    pub missing_lists: u32,
    /// When the start was first sent, if it got no answer and nothing has confirmed the run since.
    pub unanswered: Option<Instant>,
    /// Whether the worker has confirmed the start or has listed the run.
    pub confirmed: bool,
}

impl Run {
    /// Returns whether the next lists decide what becomes of an unanswered start.
    pub fn is_settling(&self) -> bool {
        self.unanswered.is_some() && self.phase != Phase::Ended
    }

    /// Returns whether its start has been sent, and may have reached the worker.
    pub fn may_have_started(&self) -> bool {
        match self.phase {
            Phase::Starting | Phase::Resending | Phase::Started(_) | Phase::Unconfirmed(_) => true,
            // Starts that were withheld or not sent are being stopped as well.
            Phase::Stopping | Phase::Stopped(_) => self.unanswered.is_some(),
            Phase::Ended => false,
        }
    }

    /// Creates a run that enters `phase` now.
    pub fn new(number: u32, phase: Phase) -> Self {
        Self {
            number,
            phase,
            since: Instant::now(),
            progress: Progress::default(),
            checkpoint: String::new(),
            long_checkpoint: false,
            stalled: false,
            missing_lists: 0,
            unanswered: None,
            confirmed: false,
        }
    }
}
