//! Events of the simulation and their queue.

use std::collections::BTreeMap;

use agate_core::Moment;
use agate_members::MemberKey;
use agate_route::admission::AttemptKey;
use agate_wire::message::{Heartbeat, Load};

/// A simulated event.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// A request arrives at an entry.
    RequestArrived,
    /// An entry sends a first or repeated attempt of a request.
    SendAttempt { request: usize },
    /// A request reaches its deadline.
    DeadlineReached { request: usize },
    /// An attempt reaches its member.
    AttemptArrived { attempt: usize },
    /// A member finishes its work on an attempt.
    ServiceEnded { member: usize, key: AttemptKey },
    /// The result of an attempt reaches its entry.
    ResultArrived {
        attempt: usize,
        result: Outcome,
        load: Option<Load>,
    },
    /// A member runs its admission tick.
    AdmissionTick { member: usize },
    /// A member sends a heartbeat to every entry.
    SendHeartbeats { member: usize },
    /// A heartbeat reaches an entry.
    HeartbeatArrived {
        entry: usize,
        message: Box<Heartbeat>,
    },
    /// An entry pings its members and sweeps its view.
    SweepView { entry: usize },
    /// A pong reaches an entry.
    PongArrived { entry: usize, key: MemberKey },
}

/// Outcome of an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// The backend server answered in full.
    Answered,
    /// The agent refused the attempt, or no member was available.
    Refused,
    /// The backend server failed the request.
    Failed,
    /// The connection was reset or is silent.
    Lost,
}

/// Events in order of time, then of insertion.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BTreeMap<(Moment, u64), Event>,
    count: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Moment, event: Event) {
        self.count += 1;
        self.events.insert((at, self.count), event);
    }

    pub(super) fn pop(&mut self) -> Option<(Moment, Event)> {
        self.events.pop_first().map(|((at, _), event)| (at, event))
    }
}
