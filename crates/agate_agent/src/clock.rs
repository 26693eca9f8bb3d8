//! The clocks that the agent reads.

use std::fmt::Debug;
use std::sync::Arc;
use std::time::Duration;

use agate_core::Moment;
use agate_core::clock::{boot_time, wall_millis};
use agate_route::admission::Clocks;
use tokio::time::Instant;

/// The machine clocks that the async runtime doesn't provide.
pub trait Clock: Debug + Send + Sync + 'static {
    /// Returns the time since the machine booted, including time in suspension.
    fn since_boot(&self) -> Duration;

    /// Returns the milliseconds since the Unix epoch.
    fn wall_millis(&self) -> u64;
}

/// The clocks of this machine.
#[derive(Debug, Clone, Copy, Default)]
pub struct MachineClock;

impl Clock for MachineClock {
    fn since_boot(&self) -> Duration {
        boot_time()
    }

    fn wall_millis(&self) -> u64 {
        wall_millis()
    }
}

/// The boot clock, the wall clock and the runtime's clock of a process.
#[derive(Debug, Clone)]
pub(crate) struct ProcessClock {
    clock: Arc<dyn Clock>,
    started_at: Instant,
    boot_at_start: Duration,
}

impl ProcessClock {
    pub(crate) fn new(clock: Arc<dyn Clock>) -> Self {
        let boot_at_start = clock.since_boot();
        Self {
            clock,
            started_at: Instant::now(),
            boot_at_start,
        }
    }

    /// Returns the current moment on the boot clock, which leases are measured on.
    pub(crate) fn boot_now(&self) -> Moment {
        Moment::ZERO + self.clock.since_boot()
    }

    /// Returns the milliseconds since the Unix epoch.
    pub(crate) fn wall_millis(&self) -> u64 {
        self.clock.wall_millis()
    }

    /// Returns the runtime's clock and its lag behind the boot clock.
    pub(crate) fn clocks(&self) -> Clocks {
        let runtime_elapsed = self.started_at.elapsed();
        let boot_elapsed = self.clock.since_boot().saturating_sub(self.boot_at_start);
        Clocks::new(
            Moment::ZERO + runtime_elapsed,
            boot_elapsed.saturating_sub(runtime_elapsed),
        )
    }
}
