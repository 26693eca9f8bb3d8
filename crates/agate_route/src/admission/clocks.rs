//! Clock readings and detection of process freezes and machine suspension.

use std::time::Duration;

use agate_core::Moment;

/// Longest interval between two calls of
/// [`AdmissionControl::tick`](super::AdmissionControl::tick).
pub const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a tick after which the process is considered to have been frozen.
const FREEZE_THRESHOLD: Duration = Duration::from_secs(1);

/// Time after a freeze during which offers are refused. They waited in socket buffers for an
/// unknown time, so the budget that they carry can't be trusted.
const STALE_WINDOW: Duration = Duration::from_millis(250);

/// A simultaneous reading of the runtime's clock and the boot clock.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// The runtime's clock, which stops while the machine is suspended.
    pub now: Moment,
    /// Time by which the boot clock has moved ahead of the runtime's clock since the process
    /// started.
    pub boot_offset: Duration,
}

impl Clocks {
    /// Creates a reading of both clocks.
    pub const fn new(now: Moment, boot_offset: Duration) -> Self {
        Self { now, boot_offset }
    }

    /// Returns the time including suspension.
    pub(super) fn time(self) -> Moment {
        self.now + self.boot_offset
    }
}

/// Detects that the process did not run for a while.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FreezeDetector {
    last_tick: Option<Moment>,
    resumed_at: Option<Moment>,
}

impl FreezeDetector {
    /// Records that the process runs at `time`.
    pub(super) fn tick(&mut self, time: Moment) {
        self.check(time);
        self.last_tick = Some(time);
    }

    /// Checks at `time` whether the process was frozen since the last tick.
    pub(super) fn check(&mut self, time: Moment) {
        let Some(last_tick) = self.last_tick else {
            return;
        };
        if time.since(last_tick) > FREEZE_THRESHOLD {
            self.resumed_at = Some(time);
            self.last_tick = Some(time);
        }
    }

    /// Whether data read from sockets at `time` may have been buffered during a freeze.
    pub(super) fn is_stale(&self, time: Moment) -> bool {
        self.resumed_at
            .is_some_and(|resumed| time.since(resumed) < STALE_WINDOW)
    }

    /// Whether the process was frozen between `start` and now.
    pub(super) fn was_frozen_since(&self, start: Moment) -> bool {
        self.resumed_at.is_some_and(|resumed| resumed > start)
    }
}
