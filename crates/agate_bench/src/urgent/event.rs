//! The queue of events.

use std::collections::BTreeMap;

use agate_core::Moment;
use agate_members::MemberKey;
use agate_route::admission::AttemptKey;
use agate_wire::message::{Heartbeat, Load};

/// Something that happens at a moment.
#[derive(Debug, Clone)]
pub(super) enum Event {
    /// A request arrives at an entry.
    Arrive,
    /// An entry sends a request, for the first time or again.
    Send { request: usize },
    /// The deadline of a request comes.
    GiveUp { request: usize },
    /// An attempt reaches its member.
    Reach { attempt: usize },
    /// A member ends its work on an attempt.
    Served { member: usize, key: AttemptKey },
    /// The result of an attempt reaches its entry.
    Result {
        attempt: usize,
        result: Outcome,
        load: Option<Load>,
    },
    /// A member looks at its queue.
    Tick { member: usize },
    /// A member sends heartbeats.
    Beat { member: usize },
    /// A heartbeat reaches an entry.
    Heard { entry: usize, beat: Box<Heartbeat> },
    /// An entry pings its members and sweeps its view.
    Sweep { entry: usize },
    /// The answer to a ping reaches an entry.
    Pong { entry: usize, key: MemberKey },
}

/// How an attempt ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Outcome {
    /// A whole answer came.
    Answered,
    /// The member refused.
    Refused,
    /// The backend server gave no whole answer.
    Failed,
    /// The connection was reset or has gone silent.
    Lost,
}

/// Events in the order of their moments.
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
