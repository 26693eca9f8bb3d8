//! Time as an agent must see it: suspension and freezes included.

use std::time::Duration;

use agate_core::Moment;

/// The longest time that may pass between two calls of
/// [`AdmissionControl::tick`](super::AdmissionControl::tick).
pub const MAX_TICK_INTERVAL: Duration = Duration::from_millis(250);

/// Time without a tick after which the process must have been frozen.
const FREEZE: Duration = Duration::from_secs(1);

/// Time after a freeze in which offers are refused. They were waiting in socket buffers for an
/// unknown time, so that the budget they carry can't be trusted.
const STALE: Duration = Duration::from_millis(250);

/// Both clocks of the machine, read together.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Clocks {
    /// The runtime's clock, which stands still while the machine is suspended.
    pub now: Moment,
    /// How far the boot clock has run ahead of the runtime's clock since the process started.
    pub boot_offset: Duration,
}

impl Clocks {
    /// A reading of both clocks.
    pub const fn new(now: Moment, boot_offset: Duration) -> Self {
        Self { now, boot_offset }
    }

    /// Time on the clock that never stands still.
    pub(super) fn time(self) -> Moment {
        self.now + self.boot_offset
    }
}

/// Notices that the process did not run for a while.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct FreezeWatch {
    ticked: Option<Moment>,
    thawed: Option<Moment>,
}

impl FreezeWatch {
    /// Notes that the process runs at `time`.
    pub(super) fn tick(&mut self, time: Moment) {
        self.look(time);
        self.ticked = Some(time);
    }

    /// Checks at `time` whether the process was frozen since the last tick.
    pub(super) fn look(&mut self, time: Moment) {
        let Some(ticked) = self.ticked else { return };
        if time.since(ticked) > FREEZE {
            self.thawed = Some(time);
            self.ticked = Some(time);
        }
    }

    /// Whether what is read from sockets at `time` may have waited there through a freeze.
    pub(super) fn is_stale(&self, time: Moment) -> bool {
        self.thawed.is_some_and(|thawed| time.since(thawed) < STALE)
    }

    /// Whether a freeze lies between `start` and now.
    pub(super) fn froze_since(&self, start: Moment) -> bool {
        self.thawed.is_some_and(|thawed| thawed > start)
    }
}
