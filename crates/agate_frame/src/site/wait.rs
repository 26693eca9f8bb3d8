//! Waiting for a condition.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Interval between two evaluations of the condition.
const POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Waits until `condition` returns true. Returns whether that happened within `limit`.
pub async fn wait_until<F: AsyncFnMut() -> bool>(limit: Duration, mut condition: F) -> bool {
    let end = Instant::now() + limit;
    loop {
        if condition().await {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
}
