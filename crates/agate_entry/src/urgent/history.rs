//! State of a request across its attempts.

use std::time::Duration;

use agate_core::Outcome;
use agate_members::MemberKey;

use super::DeadlineExceeded;
use super::attempt::AttemptOutcome;
use super::bound::{NO_TIME, refusal_message};
use super::call::{Call, CallOutcome};
use super::routed::no_target_message;
use super::router::NoTarget;
use crate::entry::Entry;
use crate::members::Target;

/// Members tried for a request, and what their attempts proved.
#[derive(Debug)]
pub(super) struct AttemptHistory {
    members: Vec<MemberKey>,
    outcome: Outcome,
    reason: String,
    retry_after: Duration,
}

impl Default for AttemptHistory {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            outcome: Outcome::NotRun,
            reason: String::new(),
            retry_after: Duration::ZERO,
        }
    }
}

impl AttemptHistory {
    /// Chooses a member that has not been tried.
    ///
    /// # Errors
    ///
    /// Returns the caller's outcome if there is none.
    pub(super) fn choose(&mut self, entry: &Entry, call: &Call) -> Result<Target, CallOutcome> {
        match entry.router.choose(&entry.members, call, &self.members) {
            Ok(target) => {
                self.members.push(target.member);
                Ok(target)
            }
            Err(no_target) => Err(self.finish_without_target(no_target)),
        }
    }

    /// Chooses a member for a hedge. Without one, the outcome of the running attempt is unaffected.
    pub(super) fn choose_hedge(&mut self, entry: &Entry, call: &Call) -> Option<Target> {
        let chosen = entry.router.choose(&entry.members, call, &self.members);
        let target = chosen.ok()?;
        self.members.push(target.member);
        Some(target)
    }

    /// Returns the number of attempts so far.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }

    /// Records an attempt that ended without an answer.
    pub(super) fn record(&mut self, attempt: AttemptOutcome) {
        match attempt {
            AttemptOutcome::Done(_) => {}
            AttemptOutcome::Refused { reason, retry } => {
                self.record_not_run(refusal_message(reason).to_owned(), retry);
            }
            AttemptOutcome::NoTime => self.record_not_run(NO_TIME.to_owned(), Duration::ZERO),
            AttemptOutcome::NotSent(reason) => self.record_not_run(reason, Duration::ZERO),
            AttemptOutcome::Failed(reason) | AttemptOutcome::Lost(reason) => {
                self.record_unknown(reason);
            }
            AttemptOutcome::Late => self.record_unknown("no answer arrived in time".to_owned()),
        }
    }

    fn finish_without_target(&mut self, no_target: NoTarget) -> CallOutcome {
        if self.members.is_empty() {
            no_target_message(no_target.reason).clone_into(&mut self.reason);
        }
        self.retry_after = self.retry_after.max(no_target.retry_after);
        self.finish()
    }

    /// Records an attempt that did not run, and the delay before a retry is worthwhile.
    pub(super) fn record_not_run(&mut self, reason: String, retry_after: Duration) {
        self.reason = reason;
        self.retry_after = self.retry_after.max(retry_after);
    }

    fn record_unknown(&mut self, reason: String) {
        self.outcome = Outcome::Unknown;
        self.reason = reason;
    }

    /// Waits before the next attempt.
    ///
    /// # Errors
    ///
    /// Returns [`DeadlineExceeded`] if no further attempt is allowed or too little time is left.
    pub(super) async fn back_off(
        &self,
        entry: &Entry,
        call: &Call,
    ) -> Result<(), DeadlineExceeded> {
        let pause = entry
            .router
            .retry_delay(call, &entry.preset(), self.attempts());
        call.deadline.sleep(pause.ok_or(DeadlineExceeded)?).await
    }

    /// Returns the outcome of a request that may have run.
    pub(super) fn finish_unknown(&mut self, reason: &str) -> CallOutcome {
        self.record_unknown(reason.to_owned());
        self.finish()
    }

    /// Returns the outcome that the attempts so far prove.
    pub(super) fn finish(&mut self) -> CallOutcome {
        let reason = std::mem::take(&mut self.reason);
        match self.outcome {
            Outcome::Done | Outcome::NotRun => CallOutcome::NotRun {
                reason,
                retry_after: self.retry_after,
            },
            Outcome::Unknown => CallOutcome::Unknown {
                reason,
                ticket: None,
            },
        }
    }
}
