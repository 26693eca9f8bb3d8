//! Points in time as decision code sees them.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the monotonic clock of one process, in whole microseconds since that clock's start.
///
/// Decision code receives moments from its caller and never reads a clock. Moments of two
/// processes must not be compared; what crosses a process border is a [`Duration`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Moment(u64);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A moment that no clock reaches.
    pub const NEVER: Self = Self(u64::MAX);

    /// Builds a moment from microseconds since the clock's start.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Builds a moment from milliseconds since the clock's start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Time passed since `earlier`, or zero if `earlier` lies in the future.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Time left until `later`, or zero if `later` has passed.
    pub const fn until(self, later: Self) -> Duration {
        later.since(self)
    }
}

impl Add<Duration> for Moment {
    type Output = Self;

    fn add(self, rhs: Duration) -> Self {
        let us = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_add(us))
    }
}

impl Sub<Duration> for Moment {
    type Output = Self;

    fn sub(self, rhs: Duration) -> Self {
        let us = u64::try_from(rhs.as_micros()).unwrap_or(u64::MAX);
        Self(self.0.saturating_sub(us))
    }
}
