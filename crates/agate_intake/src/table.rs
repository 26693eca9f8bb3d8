//! Decides which connections are closed when a limit is reached.

use std::time::Duration;

use agate_core::Moment;
use slotmap::{SlotMap, new_key_type};

use crate::{Cause, Limits, Phase};

/// Bytes that each connection counts for when connections are compared, beside what it holds.
const BASE_BYTES: usize = 16 * 1_024;

/// Time after a response for which a connection is kept open, as the client may send again.
const REUSE_TIME: Duration = Duration::from_secs(1);

/// Time after a refused connection for which connections are closed after their response.
const REFUSAL_TIME: Duration = Duration::from_secs(2);

/// Weight of the time of a connection with a request, relative to one that waits for the next. A client
/// that was served before is likely to send another request.
const REQUEST_WEIGHT: u64 = 4;

new_key_type! {
    /// A connection in a [`Table`].
    pub struct ConnectionKey;
}

/// What a connection holds and since when.
#[derive(Debug, Clone, Copy)]
struct Connection {
    phase: Phase,
    /// Begin of the request, of the response, or of the time without a request.
    since: Moment,
    /// Begin of the current period in which progress is required.
    period: Moment,
    /// Bytes that were moved in the current period.
    moved: usize,
    /// Bytes that are held for the request or the response.
    held: usize,
    /// Bytes that were received over the connection.
    received: u64,
    /// Bytes that were received before the response to the current request was sent.
    ahead: usize,
}

/// Whether a connection may be used for another request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Reuse {
    /// It may.
    Allowed,
    /// It has to be closed after the response, as connections were refused for lack of room.
    Denied,
}

/// Whether a connection is admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Admission {
    /// The connection is admitted, and the other one is closed for it.
    Admitted(ConnectionKey, Option<ConnectionKey>),
    /// All connections have complete requests, so none can be closed for this one.
    Refused,
}

/// The open connections of a process.
///
/// A connection whose request is complete is never closed: the request may take effect. The others
/// are compared by the product of what they hold and the time for which they have held it. A crowd
/// of clients that stop short therefore makes way for a client that sends a request without a pause.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    connections: SlotMap<ConnectionKey, Connection>,
    held: usize,
    /// When a connection was last refused.
    refused_at: Option<Moment>,
}

impl Table {
    /// Creates a table without connections.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            connections: SlotMap::with_key(),
            held: 0,
            refused_at: None,
        }
    }

    /// Returns the limits.
    pub const fn limits(&self) -> Limits {
        self.limits
    }

    /// Returns the number of connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// Returns whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Returns the number of bytes that all connections hold.
    pub const fn held(&self) -> usize {
        self.held
    }

    /// Returns what a connection is doing, or `None` if it was closed.
    pub fn phase(&self, key: ConnectionKey) -> Option<Phase> {
        self.connections.get(key).map(|connection| connection.phase)
    }

    /// Returns the number of bytes that were received over a connection whose client still owes a part of
    /// its request, or `None` if it doesn't.
    pub fn unfinished(&self, key: ConnectionKey) -> Option<u64> {
        let connection = self.connections.get(key)?;
        connection
            .phase
            .is_unfinished()
            .then_some(connection.received)
    }

    /// Admits a new connection, if need be in place of another one, which leaves the table.
    pub fn open(&mut self, now: Moment) -> Admission {
        let mut displaced = None;
        if self.connections.len() >= self.limits.connections {
            displaced = self.costliest(now, 0);
            let Some(key) = displaced else {
                self.refused_at = Some(now);
                return Admission::Refused;
            };
            self.close(key);
        }
        let key = self.connections.insert(Connection {
            phase: Phase::Silent,
            since: now,
            period: now,
            moved: 0,
            held: 0,
            received: 0,
            ahead: 0,
        });
        Admission::Admitted(key, displaced)
    }

    /// Removes a connection.
    pub fn close(&mut self, key: ConnectionKey) {
        if let Some(connection) = self.connections.remove(key) {
            self.held -= connection.held;
        }
    }

    /// Records bytes that were received.
    pub fn receive(&mut self, key: ConnectionKey, bytes: usize, now: Moment) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.moved += bytes;
        connection.received += bytes as u64;
        match connection.phase {
            Phase::Silent | Phase::Idle => {
                connection.enter(Phase::Head, now);
                self.hold(key, bytes);
            }
            Phase::Head => {
                let held = connection.held + bytes;
                self.hold(key, held);
            }
            // Counted where the body is collected.
            Phase::Body => {}
            Phase::Complete | Phase::Response => connection.ahead += bytes,
        }
    }

    /// Records that the head of a request is complete.
    pub fn begin_body(&mut self, key: ConnectionKey, now: Moment) {
        if let Some(connection) = self.connections.get_mut(key) {
            let since = match connection.phase {
                Phase::Head => connection.since,
                _ => now,
            };
            connection.enter(Phase::Body, now);
            connection.since = since;
        }
    }

    /// Records that a request is complete.
    pub fn complete(&mut self, key: ConnectionKey, now: Moment) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.enter(Phase::Complete, now);
        }
    }

    /// Records a response of this many bytes, in place of the request. Returns whether the connection may
    /// be used for another request: clients that send one after the other would keep all others out.
    pub fn begin_response(&mut self, key: ConnectionKey, bytes: usize, now: Moment) -> Reuse {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.enter(Phase::Response, now);
            self.hold(key, bytes);
        }
        let refused = self
            .refused_at
            .is_some_and(|at| now.since(at) < REFUSAL_TIME);
        if refused {
            Reuse::Denied
        } else {
            Reuse::Allowed
        }
    }

    /// Records bytes of a response that were sent.
    pub fn send(&mut self, key: ConnectionKey, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            connection.moved += bytes;
        }
    }

    /// Records that everything that was ready to be sent was sent.
    pub fn flush(&mut self, key: ConnectionKey, now: Moment) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.phase != Phase::Response || connection.moved == 0 {
            return;
        }
        let ahead = std::mem::take(&mut connection.ahead);
        let next = if ahead > 0 { Phase::Head } else { Phase::Idle };
        connection.enter(next, now);
        self.hold(key, ahead);
    }

    /// Changes what is held for a request that isn't complete by `grown` bytes.
    pub fn grow(&mut self, key: ConnectionKey, grown: usize) {
        if let Some(connection) = self.connections.get(key) {
            let held = connection.held + grown;
            self.hold(key, held);
        }
    }

    /// Removes the connection that has to be closed because the connections hold too much, if they do.
    /// There is none if only complete requests hold something.
    pub fn close_for_memory(&mut self, now: Moment) -> Option<ConnectionKey> {
        if self.held <= self.limits.bytes {
            return None;
        }
        let key = self.costliest(now, 1)?;
        self.close(key);
        Some(key)
    }

    /// Removes the connections that have used up a time limit.
    pub fn close_late(&mut self, now: Moment) -> Vec<(ConnectionKey, Cause)> {
        let limits = self.limits;
        let connections = self.connections.iter_mut();
        let late: Vec<_> = connections
            .filter_map(|(key, connection)| Some((key, connection.late(limits, now)?)))
            .collect();
        for (key, _) in &late {
            self.close(*key);
        }
        late
    }

    fn hold(&mut self, key: ConnectionKey, bytes: usize) {
        if let Some(connection) = self.connections.get_mut(key) {
            self.held = self.held - connection.held + bytes;
            connection.held = bytes;
        }
    }

    /// Returns the connection with the highest cost among those that hold `least` bytes or more.
    fn costliest(&self, now: Moment, least: usize) -> Option<ConnectionKey> {
        let holding = self.connections.iter().filter(|(_, one)| one.held >= least);
        let costs = holding.filter_map(|(key, one)| Some((one.cost(now)?, key)));
        costs.max_by_key(|(cost, _)| *cost).map(|(_, key)| key)
    }
}

impl Connection {
    fn enter(&mut self, phase: Phase, now: Moment) {
        self.phase = phase;
        self.since = now;
        self.period = now;
        self.moved = 0;
    }

    /// Returns what it costs to keep the connection, or `None` if it must be kept.
    fn cost(&self, now: Moment) -> Option<u64> {
        let elapsed = now.since(self.since);
        let weight = match self.phase {
            Phase::Complete => return None,
            Phase::Idle if elapsed < REUSE_TIME => return None,
            Phase::Idle => 1,
            Phase::Silent | Phase::Head | Phase::Body | Phase::Response => REQUEST_WEIGHT,
        };
        let bytes = u64::try_from(BASE_BYTES + self.held).unwrap_or(u64::MAX);
        // A microsecond more lets connections of the same moment differ by what they hold.
        let micros = u64::try_from(elapsed.as_micros())
            .unwrap_or(u64::MAX)
            .saturating_add(1);
        Some(bytes.saturating_mul(micros).saturating_mul(weight))
    }

    /// Returns the time limit that the connection has used up, if any.
    fn late(&mut self, limits: Limits, now: Moment) -> Option<Cause> {
        let elapsed = now.since(self.since);
        match self.phase {
            Phase::Silent | Phase::Idle => (elapsed >= limits.idle_time).then_some(Cause::Idle),
            Phase::Head => (elapsed >= limits.head_time).then_some(Cause::HeadTimeout),
            Phase::Body | Phase::Response => self.stalls(limits, now).then_some(Cause::Stalled),
            Phase::Complete => None,
        }
    }

    /// Returns whether too little was moved in a period, and begins the next one.
    fn stalls(&mut self, limits: Limits, now: Moment) -> bool {
        if now.since(self.period) < limits.stall_time {
            return false;
        }
        self.period = now;
        std::mem::take(&mut self.moved) < limits.stall_bytes
    }
}
