//! Upper bound on the leases that any entry may have granted.

use std::time::Duration;

use agate_core::Moment;

/// Allowance for clock drift between two machines, as a divisor of the lease.
const DRIFT_DIVISOR: u32 = 20;

/// Allowance for delays that don't depend on the lease.
const FIXED_MARGIN: Duration = Duration::from_secs(1);

/// Upper bound on the leases that entries may have granted, including those under earlier presets.
///
/// A lease under an earlier preset is based on a read that began before the switch was recorded, so
/// it has lapsed once its length has passed since that record was read.
#[derive(Debug, Clone)]
pub struct LeaseBound {
    current: Duration,
    earlier: Vec<RetiredLength>,
}

/// A lease length that is no longer in force.
#[derive(Debug, Clone, Copy)]
struct RetiredLength {
    length: Duration,
    /// Time at which the last lease of this length has lapsed.
    lapses_at: Moment,
}

impl LeaseBound {
    /// Creates a bound for a length in force since an unknown time; leases of the lengths in
    /// `earlier` may have been granted until now.
    pub fn new(
        current: Duration,
        earlier: impl IntoIterator<Item = Duration>,
        now: Moment,
    ) -> Self {
        let earlier = earlier.into_iter().map(|length| RetiredLength {
            length,
            lapses_at: now + length,
        });
        Self {
            current,
            earlier: earlier.collect(),
        }
    }

    /// Sets the lease length in force, at the time the record of the switch was read.
    pub fn set_current(&mut self, length: Duration, now: Moment) {
        self.earlier.retain(|earlier| earlier.lapses_at > now);
        self.earlier.push(RetiredLength {
            length: self.current,
            lapses_at: now + self.current,
        });
        self.current = length;
    }

    /// Returns how long a holder may keep running after the record of its loss was read.
    pub fn fencing_delay(&self, now: Moment) -> Duration {
        let unlapsed = self
            .earlier
            .iter()
            .filter(|earlier| earlier.lapses_at > now);
        let lengths = unlapsed.map(|earlier| earlier.length);
        let longest = lengths.fold(self.current, Duration::max);
        longest + longest / DRIFT_DIVISOR + FIXED_MARGIN
    }
}
