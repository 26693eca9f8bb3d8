//! Waiting for a condition.

use std::time::Duration;

use tokio::time::{Instant, sleep};

/// Pause between two looks.
const PAUSE: Duration = Duration::from_millis(50);

/// Waits until `probe` answers true; answers whether it did within `limit`.
pub async fn wait_until<F: AsyncFnMut() -> bool>(limit: Duration, mut probe: F) -> bool {
    let end = Instant::now() + limit;
    loop {
        if probe().await {
            return true;
        }
        if Instant::now() >= end {
            return false;
        }
        sleep(PAUSE).await;
    }
}
