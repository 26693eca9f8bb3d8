//! Order of the heartbeats of an incarnation.
//!
//! A number that goes back means a late call. One that is far ahead, or one from another writer, must
//! not silence the calls that follow it, so numbers out of range are accepted once they rise steadily.

use std::time::Duration;

use tokio::time::Instant;

/// Largest step between two heartbeats in a row that arrive together.
const MAX_STEP: u64 = 16;

/// Shortest time between the calls of a worker while it gets no answer.
const MIN_CALL_PERIOD: Duration = Duration::from_millis(50);

/// Shortest time between two numbers out of range that counts as steady. Calls that a partition has
/// delayed arrive together; a worker sends one about every second.
const STEADY_PERIOD: Duration = Duration::from_millis(300);

/// The newest number, and the last one out of range.
#[derive(Debug)]
pub(super) struct SequenceOrder {
    newest: Arrival,
    doubted: Option<Arrival>,
    highest: u64,
}

#[derive(Debug, Clone, Copy)]
struct Arrival {
    number: u64,
    at: Instant,
}

impl SequenceOrder {
    pub fn new(number: u64) -> Self {
        let at = Instant::now();
        Self {
            newest: Arrival { number, at },
            doubted: None,
            highest: number,
        }
    }

    /// Returns the highest number that was accepted. Reports are ordered by it.
    pub const fn highest(&self) -> u64 {
        self.highest
    }

    /// Returns whether a heartbeat with this number comes after all that were accepted, by whatever step.
    pub const fn is_later(&self, number: u64) -> bool {
        number > self.newest.number
    }

    /// Returns whether the heartbeat with this number is the newest one.
    pub fn accept(&mut self, number: u64) -> bool {
        let at = Instant::now();
        let arrival = Arrival { number, at };
        let is_steady = |doubted: Arrival| {
            number > doubted.number
                && arrival.follows(doubted)
                && at.duration_since(doubted.at) >= STEADY_PERIOD
        };
        if !arrival.follows(self.newest) && !self.doubted.is_some_and(is_steady) {
            self.doubted = Some(arrival);
            return false;
        }
        self.newest = arrival;
        self.doubted = None;
        self.highest = self.highest.max(number);
        true
    }
}

impl Arrival {
    /// Returns whether this is a repetition of `earlier` or may be one of the next calls.
    fn follows(self, earlier: Self) -> bool {
        let calls = self.at.duration_since(earlier.at).as_millis() / MIN_CALL_PERIOD.as_millis();
        let step = self.number.checked_sub(earlier.number);
        step.is_some_and(|step| u128::from(step) <= u128::from(MAX_STEP) + calls)
    }
}
