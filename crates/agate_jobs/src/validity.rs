//! Bounds of values that come from callers, the operator and other writers of the log.
//!
//! The decoders at the border and the parser of records apply the same checks, so that the fold and the
//! scheduler only see values whose sums and products can't exceed their types by far, and whose size in
//! memory is bounded.

use displaydoc::Display;

use crate::record::{Body, LeaderHeartbeat, Suspect};
use crate::spec::{JobSpec, QueuePolicy, Repeat, StepSpec};
use crate::worker::{WorkerIncarnation, WorkerReport};

/// Most tasks of a job, and most steps, over all occurrences. The records of a larger job would exceed
/// the log's limits.
pub const MAX_TASKS: u64 = 100_000;

/// Most steps of a job. Every entry holds them until the job has ended, also those without tasks. More steps with
/// processors and memory don't fit into the 256 KiB of a body.
pub const MAX_STEPS: usize = 10_000;

/// Longest time of a job or queue, ten years, in milliseconds.
pub const MAX_SPAN_MS: u64 = 10 * 366 * 86_400_000;

/// Latest point in time, the end of the year 9999, in milliseconds since the Unix epoch.
pub const MAX_WALL_MS: u64 = 253_402_300_799_999;

/// Largest factor of a queue, in thousandths.
pub const MAX_STRETCH_MILLI: u64 = 1_000_000;

/// Highest epoch of a leader. Each takeover raises the epoch by a few, so no leader reaches it, while
/// the largest numbers of usual types and points in time exceed it.
pub const MAX_EPOCH: u64 = 1_000_000_000_000;

/// Highest term of an incarnation, which rises with each lapse of its lease.
pub const MAX_TERM: u32 = 1_000_000;

/// Highest number of a suspicion and of a heartbeat, up to which each JSON number is exact.
pub const MAX_NUMBER: u64 = (1 << 53) - 1;

/// Time by which the clock of a worker may be ahead of the reader's, one day, in milliseconds.
pub const MAX_CLOCK_LEAD_MS: u64 = 86_400_000;

/// {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Invalid(pub String);

impl std::error::Error for Invalid {}

/// Returns an error unless `value` is at most `max`.
fn check_max(what: &str, value: u64, max: u64) -> Result<(), Invalid> {
    check(value <= max, || {
        format!("{what} is {value}, more than {max}")
    })
}

fn check(holds: bool, cause: impl FnOnce() -> String) -> Result<(), Invalid> {
    if holds { Ok(()) } else { Err(Invalid(cause())) }
}

impl JobSpec {
    /// Checks that the job is well formed and its amounts are bounded.
    ///
    /// # Errors
    ///
    /// Returns the first problem.
    pub fn validate(&self) -> Result<(), Invalid> {
        check(!self.steps.is_empty(), || "it has no phases".to_owned())?;
        check(self.steps.len() <= MAX_STEPS, || {
            format!("it has more than {MAX_STEPS} phases")
        })?;
        let occurrences = u64::from(self.occurrences());
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        check(tasks.saturating_mul(occurrences) <= MAX_TASKS, || {
            format!("it has more than {MAX_TASKS} tasks")
        })?;
        let steps = (self.steps.len() as u64).saturating_mul(occurrences);
        check(steps <= MAX_TASKS, || {
            format!("it has more than {MAX_TASKS} phases over all occurrences")
        })?;
        for (at, step) in self.steps.iter().enumerate() {
            step.validate(at)?;
        }
        self.repeat.as_ref().map_or(Ok(()), Repeat::validate)
    }
}

impl StepSpec {
    fn validate(&self, at: usize) -> Result<(), Invalid> {
        if let Some(later) = self.after.iter().find(|on| **on as usize >= at) {
            let cause = format!("phase {at} depends on {later}, which is not earlier");
            return Err(Invalid(cause));
        }
        let what = |field: &str| format!("the {field} of phase {at}");
        check_max(&what("estimate"), self.estimate_ms, MAX_SPAN_MS)?;
        check_max(&what("latency target"), self.target_ms, MAX_SPAN_MS)
    }
}

impl Repeat {
    fn validate(&self) -> Result<(), Invalid> {
        check_max("the due time", self.first_ms, MAX_WALL_MS)?;
        check_max("the interval", self.every_ms, MAX_SPAN_MS)
    }
}

impl QueuePolicy {
    /// Checks that the times and factors of the queue are bounded.
    ///
    /// # Errors
    ///
    /// Returns the first problem.
    pub fn validate(&self) -> Result<(), Invalid> {
        check_max("the latency objective", self.slack_ms, MAX_SPAN_MS)?;
        check_max("the stretch factor", self.stretch_milli, MAX_STRETCH_MILLI)
    }
}

impl LeaderHeartbeat {
    fn validate(&self) -> Result<(), Invalid> {
        check(!self.entry.is_empty(), || "it names no entry".to_owned())?;
        check(self.epoch > 0, || "it has no epoch".to_owned())?;
        check_max("the epoch", self.epoch, MAX_EPOCH)?;
        self.suspects.iter().try_for_each(Suspect::validate)
    }
}

impl Suspect {
    fn validate(&self) -> Result<(), Invalid> {
        self.incarnation.validate()?;
        check_max("the suspicion", self.number, MAX_NUMBER)
    }
}

impl WorkerIncarnation {
    fn validate(&self) -> Result<(), Invalid> {
        check(!self.name.is_empty(), || "it names no worker".to_owned())?;
        check_max("the start", self.started_ms, MAX_WALL_MS)?;
        check_max("the term", self.term.into(), MAX_TERM.into())
    }
}

impl WorkerReport {
    fn validate(&self) -> Result<(), Invalid> {
        self.incarnation.validate()?;
        check_max("the heartbeat", self.heartbeat, MAX_NUMBER)?;
        check_max("the suspicion", self.acked_suspicion, MAX_NUMBER)
    }
}

impl Body {
    /// Checks that the contents may have been written by the time `wall_ms` of the reader's wall clock. A
    /// worker that starts in the future would supersede its true incarnation until then.
    ///
    /// # Errors
    ///
    /// Returns the first problem.
    pub fn validate_at(&self, wall_ms: u64) -> Result<(), Invalid> {
        let Self::Worker(report) = self else {
            return Ok(());
        };
        let latest_ms = wall_ms.saturating_add(MAX_CLOCK_LEAD_MS);
        check_max("the start", report.incarnation.started_ms, latest_ms)
    }

    /// Checks that the contents are ones that the system may have written.
    ///
    /// # Errors
    ///
    /// Returns the first problem.
    pub fn validate(&self) -> Result<(), Invalid> {
        match self {
            Self::Submitted {
                spec,
                policy,
                at_ms,
                ..
            } => {
                check_max("the time of acceptance", *at_ms, MAX_WALL_MS)?;
                policy.validate()?;
                spec.validate()
            }
            Self::Cancelled { at_ms, .. } => {
                check_max("the time of cancellation", *at_ms, MAX_WALL_MS)
            }
            Self::Closed { state, at_ms, .. } => {
                check(state.is_final(), || format!("the job is still {state}"))?;
                check_max("the time of closing", *at_ms, MAX_WALL_MS)
            }
            Self::Leader(heartbeat) => heartbeat.validate(),
            Self::Worker(report) => report.validate(),
            Self::Order(order) => order.incarnation.validate(),
            Self::Suspicion(suspicion) => {
                suspicion.incarnation.validate()?;
                check_max("the suspicion", suspicion.number, MAX_NUMBER)
            }
            Self::Ended(_) => Ok(()),
        }
    }
}
