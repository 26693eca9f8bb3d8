//! Arithmetic of leases.

use std::time::Duration;

use agate_jobs::lease::{ClockReading, duration, expiry_delay};
use proptest::prelude::*;

proptest! {
    /// Whatever the worker's clock does within its two percent, the deadline is reached by the time
    /// that the agent meant.
    #[test]
    fn a_deadline_is_reached_in_time(
        worker_ms in 0_u64..1_000_000_000,
        ahead_ms in 0_u64..60_000,
        slow_permille in 0_u64..=20,
    ) {
        let reading = ClockReading { worker_ms, at: Duration::from_secs(100) };
        let meant = Duration::from_secs(100) + Duration::from_millis(ahead_ms);
        let deadline = reading.deadline(meant);
        let shown = worker_ms + ahead_ms - ahead_ms * slow_permille / 1_000;
        prop_assert!(deadline <= shown);
    }

    #[test]
    fn the_lapse_outlasts_the_lease(hold_ms in 1_000_u64..60_000) {
        let lease = duration(Duration::from_millis(hold_ms));
        prop_assert!(lease <= Duration::from_millis(hold_ms));
        prop_assert!(expiry_delay(lease) > lease.mul_f64(1.0 / 0.98));
    }
}

#[test]
fn a_lasting_task_is_replaced_within_nine_seconds() {
    let longest = expiry_delay(duration(Duration::from_secs(10)));
    let silence = agate_jobs::plan::SUSPECT_AFTER;
    assert!(longest + silence < Duration::from_secs(9));
}
