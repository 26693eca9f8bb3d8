//! Performs planned stops.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use crate::batch::evict_all;
use crate::state::{Core, Phase};

/// Longest wait for entries to acknowledge that the agent is leaving.
const LEAVE_ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the last acknowledgement for messages in flight to arrive.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(100);

/// Interval between checks for outstanding acknowledgements.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for aborted work to be answered or reported.
const CUT_OFF_TIMEOUT: Duration = Duration::from_secs(3);

/// Outcome of a planned stop.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainOutcome {
    /// All work was finished or evicted, and recorded.
    Complete,
    /// Some work was aborted, and answered or reported as such.
    CutOff,
}

/// Performs a planned stop within the configured time.
pub(super) async fn drain(core: &Arc<Core>) -> DrainOutcome {
    let deadline = Instant::now() + core.config.drain_timeout;
    log::info!(event = "leaving", drain_s = core.config.drain_timeout.as_secs(); "");
    core.advance(Phase::Leaving);
    tokio::select! {
        () = wait_for_leave_acks(core) => {}
        () = core.wait_for_phase(Phase::Ending) => {}
    }
    core.advance(Phase::Draining);
    core.gate.drain();
    evict_all(&core.bindings());
    core.tasks.close();
    let finished = tokio::select! {
        finished = timeout_at(deadline, core.tasks.wait()) => finished.is_ok(),
        () = core.wait_for_phase(Phase::Ending) => false,
    };
    // Aborted work ends at once as well, so its end alone doesn't mean that it was finished.
    if finished && core.phase() < Phase::Ending {
        log::info!(event = "drained"; "");
        return DrainOutcome::Complete;
    }
    cut_off(core).await;
    DrainOutcome::CutOff
}

/// Waits until every reachable entry has acknowledged that the agent is leaving.
async fn wait_for_leave_acks(core: &Core) {
    let acked = async {
        while !core.entries.all_leave_acks_received() {
            sleep(POLL_INTERVAL).await;
        }
        sleep(IN_FLIGHT_GRACE).await;
    };
    // Entries that don't acknowledge in time have been silent and send no more work either.
    drop(tokio::time::timeout(LEAVE_ACK_TIMEOUT, acked).await);
}

/// Aborts remaining work, and waits until it is answered or reported.
async fn cut_off(core: &Core) {
    log::warn!(event = "cut_off", left = core.tasks.len(); "");
    core.advance(Phase::Ending);
    core.gate.refuse_waiting();
    drop(tokio::time::timeout(CUT_OFF_TIMEOUT, core.tasks.wait()).await);
}
