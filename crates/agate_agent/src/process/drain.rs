//! The planned stop.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use crate::batch::evict_all;
use crate::state::{Core, Phase};

/// Longest time for which entries are told that the agent leaves before it takes no more.
const LEAVE_ACK_TIMEOUT: Duration = Duration::from_secs(2);

/// Time after the last acknowledgement in which messages that were under way arrive.
const IN_FLIGHT_GRACE: Duration = Duration::from_millis(100);

/// Time between two looks at whether every entry has acknowledged.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Time for what is left to be answered and reported once it is cut off.
const CUT_OFF_TIMEOUT: Duration = Duration::from_secs(3);

/// How a planned stop went.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum DrainOutcome {
    /// Everything was finished or evicted, and recorded.
    Complete,
    /// Something was cut off; it was answered or reported as such.
    CutOff,
}

/// Stops as planned, within the time that the configuration allows.
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
    // Work ends at once when it is cut off, so that its end alone proves nothing.
    if finished && core.phase() < Phase::Ending {
        log::info!(event = "drained"; "");
        return DrainOutcome::Complete;
    }
    cut_off(core).await;
    DrainOutcome::CutOff
}

/// Waits until every entry that answers knows that the agent leaves.
async fn wait_for_leave_acks(core: &Core) {
    let acked = async {
        while !core.entries.all_acked_leaving() {
            sleep(POLL_INTERVAL).await;
        }
        sleep(IN_FLIGHT_GRACE).await;
    };
    // Entries that don't acknowledge in time have been silent and send nothing more either.
    drop(tokio::time::timeout(LEAVE_ACK_TIMEOUT, acked).await);
}

/// Ends what is left, and waits until it is answered and reported.
async fn cut_off(core: &Core) {
    log::warn!(event = "cut_off", left = core.tasks.len(); "");
    core.advance(Phase::Ending);
    core.gate.refuse_waiting();
    drop(tokio::time::timeout(CUT_OFF_TIMEOUT, core.tasks.wait()).await);
}
