//! Points in time for decision code.

use std::ops::{Add, Sub};
use std::time::Duration;

/// A point on the monotonic clock of one process, in whole microseconds since that clock's start.
///
/// Decision code receives moments as arguments and never reads a clock. Moments of different
/// processes must not be compared; processes exchange a [`Duration`] instead.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Default)]
pub struct Moment(u64);

impl Moment {
    /// The start of the clock.
    pub const ZERO: Self = Self(0);
    /// A moment later than any that a clock reaches.
    pub const NEVER: Self = Self(u64::MAX);

    /// Creates a moment from microseconds since the clock's start.
    pub const fn from_micros(us: u64) -> Self {
        Self(us)
    }

    /// Creates a moment from milliseconds since the clock's start.
    pub const fn from_millis(ms: u64) -> Self {
        Self(ms.saturating_mul(1_000))
    }

    /// Returns the microseconds since the clock's start.
    pub const fn as_micros(self) -> u64 {
        self.0
    }

    /// Returns the time elapsed since `earlier`, or zero if `earlier` is later than `self`.
    pub const fn since(self, earlier: Self) -> Duration {
        Duration::from_micros(self.0.saturating_sub(earlier.0))
    }

    /// Returns the time left until `later`, or zero if `later` is before `self`.
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
