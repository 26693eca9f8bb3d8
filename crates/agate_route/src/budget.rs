//! Time budget handed to the next hop of a request.
//!
//! A deadline is sent to another process as the number of milliseconds left, because the clocks of
//! two machines can't be compared. Each hop subtracts the time that the answer needs to travel
//! back.

use std::time::Duration;

use agate_core::Moment;

/// Time by which the sender of a request must have its answer.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Deadline(Moment);

impl Deadline {
    /// Creates the deadline of a request that arrived at `now` with `budget` left.
    pub fn after(now: Moment, budget: Duration) -> Self {
        Self(now + budget)
    }

    /// Returns the deadline as a moment.
    pub const fn moment(self) -> Moment {
        self.0
    }

    /// Returns the time left.
    pub const fn remaining(self, now: Moment) -> Duration {
        now.until(self.0)
    }

    /// Returns the budget in whole milliseconds for a hop with a one-way `delay`, or `None` if no
    /// time would be left.
    pub fn hop_budget_ms(self, now: Moment, delay: Duration) -> Option<u64> {
        let remaining = self.remaining(now).checked_sub(delay * 2)?;
        let ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
        (ms > 0).then_some(ms)
    }
}
