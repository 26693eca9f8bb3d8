//! How much of a deadline is handed to the next hop.
//!
//! A deadline crosses a process border as the milliseconds that are left, because two machines'
//! clocks can't be compared. Each hop keeps back the time that the answer needs for its way home.

use std::time::Duration;

use agate_core::Moment;

/// When an answer must be with whoever asked.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(Moment);

impl Deadline {
    /// The deadline of a request that arrived at `now` with `budget` left.
    pub fn after(now: Moment, budget: Duration) -> Self {
        Self(now + budget)
    }

    /// The deadline as a moment.
    pub const fn moment(self) -> Moment {
        self.0
    }

    /// Time left.
    pub const fn remaining(self, now: Moment) -> Duration {
        now.until(self.0)
    }

    /// Whole milliseconds to hand to a hop whose messages take `delay` one way, or `None` if
    /// nothing would be left.
    pub fn hop_budget_ms(self, now: Moment, delay: Duration) -> Option<u64> {
        let left = self.remaining(now).checked_sub(delay * 2)?;
        let ms = u64::try_from(left.as_millis()).unwrap_or(u64::MAX);
        (ms > 0).then_some(ms)
    }
}
