//! Requests whose member this entry chooses.

use std::time::Duration;

use agate_core::{Key, Outcome, clock};
use agate_members::MemberKey;
use agate_route::choose::NoChoice;
use rand::Rng;
use tokio::time::Instant;

use super::attempt::{Addressee, Attempt, try_once};
use super::bound::{self, NO_TIME, refusal_text};
use super::call::{Call, Ending};
use super::router::{NoTarget, Trip};
use super::{Passed, Ticket};
use crate::entry::Entry;
use crate::members::Target;

/// Serves a request that may be repeated: attempts that fail are repeated elsewhere within the
/// budget.
pub(crate) async fn serve_repeatable(entry: &Entry, call: &Call) -> Ending {
    let mut tried = Tried::default();
    loop {
        let target = match tried.choose(entry, call) {
            Ok(target) => target,
            Err(ending) => return ending,
        };
        let to = Addressee {
            incarnation: target.incarnation,
            key: None,
        };
        let link = entry.link(target.incarnation, target.address);
        let started = Instant::now();
        let attempt = try_once(entry, call, &link, to).await;
        let trip = Trip {
            target,
            attempt: &attempt,
            took: started.elapsed(),
        };
        entry.router.ended(&entry.members, call, trip);
        match attempt {
            Attempt::Done(whole) => return Ending::Done(whole),
            Attempt::Late => return tried.unknown("no answer arrived in time"),
            Attempt::Refused { reason, retry } => {
                tried.not_run(refusal_text(reason).to_owned(), retry);
            }
            Attempt::NoTime => tried.not_run(NO_TIME.to_owned(), Duration::ZERO),
            Attempt::NotSent(reason) => tried.not_run(reason, Duration::ZERO),
            Attempt::Failed(reason) | Attempt::Lost(reason) => tried.may_have_run(reason),
        }
        if tried.pause(entry, call).await.is_err() {
            return tried.give_up();
        }
    }
}

/// Serves a request that may not be repeated and has no key of its caller. Each attempt gets a key
/// of its own, bound to the chosen incarnation; another is made only on proof that the one before
/// did not run.
pub(crate) async fn serve_once(entry: &Entry, call: &Call) -> Ending {
    let mut tried = Tried::default();
    loop {
        let target = match tried.choose(entry, call) {
            Ok(target) => target,
            Err(ending) => return ending,
        };
        match bound::serve_chosen(entry, call, target, ticket_for(target)).await {
            Ending::NotRun { reason, retry } => tried.not_run(reason, retry),
            ending => return ending,
        }
        if tried.pause(entry, call).await.is_err() {
            return tried.give_up();
        }
    }
}

/// Binds a new key to a member.
pub(crate) fn ticket_for(target: Target) -> Ticket {
    Ticket {
        key: Key::from_parts(clock::wall_millis(), rand::rng().random()),
        incarnation: target.incarnation,
        address: target.address,
    }
}

/// What is known after the attempts made so far.
#[derive(Debug)]
struct Tried {
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
    fn choose(&mut self, entry: &Entry, call: &Call) -> Result<Target, Ending> {
        match entry.router.choose(&entry.members, call, &self.members) {
            Ok(target) => {
                self.members.push(target.member);
                Ok(target)
            }
            Err(none) => Err(self.no_target(none)),
        }
    }

    fn no_target(&mut self, none: NoTarget) -> Ending {
        if self.members.is_empty() {
            none_text(none.reason).clone_into(&mut self.reason);
        }
        self.retry = self.retry.max(none.retry);
        self.give_up()
    }

    fn not_run(&mut self, reason: String, retry: Duration) {
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
    async fn pause(&self, entry: &Entry, call: &Call) -> Result<(), Passed> {
        let attempts = u32::try_from(self.members.len()).unwrap_or(u32::MAX);
        let pause = entry.router.retry(call, &entry.preset(), attempts);
        call.deadline.pause(pause.ok_or(Passed)?).await
    }

    fn unknown(&mut self, reason: &str) -> Ending {
        self.may_have_run(reason.to_owned());
        self.give_up()
    }

    fn give_up(&mut self) -> Ending {
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

/// Tells a caller why no member was chosen.
pub(crate) const fn none_text(reason: NoChoice) -> &'static str {
    match reason {
        NoChoice::NoMember => "no backend server that serves the class is known",
        NoChoice::Busy => "every backend server that serves the class is busy",
        NoChoice::Late => "no backend server is expected to answer before the deadline",
        NoChoice::Link => "only another region could answer, and the link to it is used up",
    }
}
