//! The planned stop.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use crate::batch::evict_all;
use crate::state::{Core, Phase};

/// Longest time for which entries are told that the agent leaves before it takes no more.
const NOTICE: Duration = Duration::from_secs(2);

/// Time after the last acknowledgement in which messages that were under way arrive.
const SETTLE: Duration = Duration::from_millis(100);

/// Time between two looks at whether every entry has acknowledged.
const POLL: Duration = Duration::from_millis(10);

/// Time for what is left to be answered and reported once it is cut off.
const LAST_WORDS: Duration = Duration::from_secs(3);

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
        () = notice(core) => {}
        () = core.reached(Phase::Ending) => {}
    }
    core.advance(Phase::Draining);
    core.gate.drain();
    evict_all(&core.bound());
    core.work.close();
    let finished = tokio::select! {
        finished = timeout_at(deadline, core.work.wait()) => finished.is_ok(),
        () = core.reached(Phase::Ending) => false,
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
async fn notice(core: &Core) {
    let told = async {
        while !core.entries.all_told_leaving() {
            sleep(POLL).await;
        }
        sleep(SETTLE).await;
    };
    // Entries that don't acknowledge in time have been silent and send nothing more either.
    drop(tokio::time::timeout(NOTICE, told).await);
}

/// Ends what is left, and waits until it is answered and reported.
async fn cut_off(core: &Core) {
    log::warn!(event = "cut_off", left = core.work.len(); "");
    core.advance(Phase::Ending);
    core.gate.refuse_waiting();
    drop(tokio::time::timeout(LAST_WORDS, core.work.wait()).await);
}
