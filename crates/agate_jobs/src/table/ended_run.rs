//! The recorded ends of a single run.

use crate::crash::Crash;
use crate::record::{EndCause, RunEnd};

/// Precedence of an end among those that are recorded of one run, in ascending order. A worker lists how
/// a run really ended, while the others conclude it, so a listed end counts whichever was recorded first:
/// the order of offsets is lost once an end has been recorded again.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Precedence {
    /// The agent inferred it.
    Inferred,
    /// The run is lost.
    Lost,
    /// The run ended with a crash of its worker.
    Crashed,
    /// The worker listed it.
    Listed,
    /// The worker listed that the task has finished, which no later end revokes.
    Done,
}

impl Precedence {
    const fn of(end: &RunEnd) -> Self {
        match end.cause {
            EndCause::Done => Self::Done,
            EndCause::Lost if end.crash.is_some() => Self::Crashed,
            EndCause::Lost => Self::Lost,
            cause if cause.is_inferred() => Self::Inferred,
            _ => Self::Listed,
        }
    }
}

/// A run of which an end is recorded, with the end that counts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct EndedRun {
    /// Number of the run.
    pub run: u32,
    /// Why the run ended.
    pub cause: EndCause,
    /// Checkpoint that the run left; empty if there is none.
    pub checkpoint: String,
    /// Worker of a failed run, otherwise empty.
    pub failed_on: String,
    /// Run time in milliseconds; zero if the task did not run.
    pub ran_ms: u64,
    /// How the worker crashed, whichever end counts.
    pub crash: Option<Box<Crash>>,
    precedence: Precedence,
}

impl EndedRun {
    pub(super) fn new(end: &RunEnd) -> Self {
        let mut ended = Self {
            run: end.run,
            cause: end.cause,
            checkpoint: String::new(),
            failed_on: String::new(),
            ran_ms: 0,
            crash: None,
            precedence: Precedence::of(end),
        };
        ended.merge(end);
        ended
    }

    /// Adds an end of the run. Of ends with equal precedence the last one counts: they have the same key,
    /// so it is also the one that the log keeps.
    pub(super) fn merge(&mut self, end: &RunEnd) {
        if let Some(crash) = &end.crash {
            self.crash = Some(Box::new(crash.clone()));
        }
        let precedence = Precedence::of(end);
        if precedence < self.precedence {
            return;
        }
        self.precedence = precedence;
        self.cause = end.cause;
        self.checkpoint.clone_from(&end.checkpoint);
        self.ran_ms = end.ran_ms;
        self.failed_on = if end.cause == EndCause::Failed {
            end.worker.clone()
        } else {
            String::new()
        };
    }
}
