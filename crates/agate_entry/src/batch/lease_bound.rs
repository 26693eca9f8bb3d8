//! The longest lease that any entry may have granted.

use std::time::Duration;

use agate_core::Moment;

/// Addition that covers the drift between two machines' clocks, as a divisor of the lease.
const DRIFT_SHARE: u32 = 20;

/// Addition that covers what takes a fixed time.
const MARGIN: Duration = Duration::from_secs(1);

/// Bounds the leases that entries may have granted, the ones under earlier presets included.
///
/// A lease under an earlier preset rests on a read that began before the record of the switch, so
/// it has lapsed once its length has passed since that record was read.
#[derive(Debug, Clone)]
pub struct LeaseBound {
    current: Duration,
    earlier: Vec<Earlier>,
}

/// A length of leases that is no longer in force.
#[derive(Debug, Clone, Copy)]
struct Earlier {
    length: Duration,
    /// When the last of them has lapsed.
    until: Moment,
}

impl LeaseBound {
    /// Starts with a length in force since an unknown time; leases of the lengths in `earlier`
    /// may have been granted until now.
    pub fn new(
        current: Duration,
        earlier: impl IntoIterator<Item = Duration>,
        now: Moment,
    ) -> Self {
        let earlier = earlier.into_iter().map(|length| Earlier {
            length,
            until: now + length,
        });
        Self {
            current,
            earlier: earlier.collect(),
        }
    }

    /// Notes that the record has been read that puts another length in force.
    pub fn set_current(&mut self, length: Duration, now: Moment) {
        self.earlier.retain(|earlier| earlier.until > now);
        self.earlier.push(Earlier {
            length: self.current,
            until: now + self.current,
        });
        self.current = length;
    }

    /// How long after the record of a holder's loss was read the holder may still run.
    pub fn fencing_delay(&self, now: Moment) -> Duration {
        let open = self.earlier.iter().filter(|earlier| earlier.until > now);
        let lengths = open.map(|earlier| earlier.length);
        let longest = lengths.fold(self.current, Duration::max);
        longest + longest / DRIFT_SHARE + MARGIN
    }
}
