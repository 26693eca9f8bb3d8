//! What is known about a request after the attempts made so far.

use std::time::Duration;

use agate_core::Outcome;
use agate_members::MemberKey;

use super::Passed;
use super::attempt::Attempt;
use super::bound::{NO_TIME, refusal_text};
use super::call::{Call, Ending};
use super::chosen::none_text;
use super::router::NoTarget;
use crate::entry::Entry;
use crate::members::Target;

/// What is known after the attempts made so far.
#[derive(Debug)]
pub(super) struct Tried {
    members: Vec<MemberKey>,
    outcome: Outcome,
    reason: String,
    retry: Duration,
}

impl Default for Tried {
    fn default() -> Self {
        Self {
            members: Vec::new(),
            outcome: Outcome::NotRun,
            reason: String::new(),
            retry: Duration::ZERO,
        }
    }
}

impl Tried {
    /// Chooses a member that has not been tried.
    ///
    /// # Errors
    ///
    /// Returns what the caller is told if there is none.
    pub(super) fn choose(&mut self, entry: &Entry, call: &Call) -> Result<Target, Ending> {
        match entry.router.choose(&entry.members, call, &self.members) {
            Ok(target) => {
                self.members.push(target.member);
                Ok(target)
            }
            Err(none) => Err(self.no_target(none)),
        }
    }

    /// Chooses a member for a hedge; that there is none says nothing about the attempts under way.
    pub(super) fn choose_another(&mut self, entry: &Entry, call: &Call) -> Option<Target> {
        let chosen = entry.router.choose(&entry.members, call, &self.members);
        let target = chosen.ok()?;
        self.members.push(target.member);
        Some(target)
    }

    /// Attempts made so far.
    pub(super) fn attempts(&self) -> u32 {
        u32::try_from(self.members.len()).unwrap_or(u32::MAX)
    }

    /// Notes the end of an attempt that brought no answer.
    pub(super) fn note(&mut self, attempt: Attempt) {
        match attempt {
            Attempt::Done(_) => {}
            Attempt::Refused { reason, retry } => {
                self.not_run(refusal_text(reason).to_owned(), retry);
            }
            Attempt::NoTime => self.not_run(NO_TIME.to_owned(), Duration::ZERO),
            Attempt::NotSent(reason) => self.not_run(reason, Duration::ZERO),
            Attempt::Failed(reason) | Attempt::Lost(reason) => self.may_have_run(reason),
            Attempt::Late => self.may_have_run("no answer arrived in time".to_owned()),
        }
    }

    fn no_target(&mut self, none: NoTarget) -> Ending {
        if self.members.is_empty() {
            none_text(none.reason).clone_into(&mut self.reason);
        }
        self.retry = self.retry.max(none.retry);
        self.give_up()
    }

    /// Notes an attempt that did not run, and when it is worth coming back.
    pub(super) fn not_run(&mut self, reason: String, retry: Duration) {
        self.reason = reason;
        self.retry = self.retry.max(retry);
    }

    fn may_have_run(&mut self, reason: String) {
        self.outcome = Outcome::Unknown;
        self.reason = reason;
    }

    /// Waits before another attempt.
    ///
    /// # Errors
    ///
    /// Returns [`Passed`] if there is to be no other.
    pub(super) async fn pause(&self, entry: &Entry, call: &Call) -> Result<(), Passed> {
        let pause = entry.router.retry(call, &entry.preset(), self.attempts());
        call.deadline.pause(pause.ok_or(Passed)?).await
    }

    /// Ends a request that may have run.
    pub(super) fn unknown(&mut self, reason: &str) -> Ending {
        self.may_have_run(reason.to_owned());
        self.give_up()
    }

    /// Tells the caller what is known.
    pub(super) fn give_up(&mut self) -> Ending {
        let reason = std::mem::take(&mut self.reason);
        match self.outcome {
            Outcome::Done | Outcome::NotRun => Ending::NotRun {
                reason,
                retry: self.retry,
            },
            Outcome::Unknown => Ending::Unknown {
                reason,
                ticket: None,
            },
        }
    }
}
