//! Follows the main stream and passes its effects to batch work and configuration.

use std::sync::Arc;
use std::time::Duration;

use agate_log::{FollowEvent, FollowSettings, Follower, recover};
use agate_records::DecodedBatch;
use agate_state::{BatchEffect, StateLimits};
use agate_super::ChildError;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::folded::Tip;
use crate::batch;
use crate::entry::Entry;

/// Delay before the state is rebuilt after required records have been lost.
const REBUILD_PAUSE: Duration = Duration::from_secs(5);

/// Follows the main stream until `stop` is cancelled. While the log is down, it waits; urgent
/// requests are still served.
pub(crate) async fn follow(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    while let Some(()) = stop.run_until_cancelled(follow_once(&entry)).await {
        entry.folded.mark_stale();
        if stop
            .run_until_cancelled(sleep(REBUILD_PAUSE))
            .await
            .is_none()
        {
            break;
        }
    }
    Ok(())
}

/// Rebuilds the state and follows the stream until required records are missing from the log.
async fn follow_once(entry: &Entry) {
    let mut rng = StdRng::from_os_rng();
    let suspended = entry.folded.suspended();
    let store = Arc::clone(&entry.store);
    let settings = FollowSettings::default();
    let recovered = recover(store, StateLimits::default(), settings, &mut rng).await;
    let mut recovered = match recovered {
        Ok(recovered) => recovered,
        Err(error) => {
            log::error!(event = "state_not_rebuilt", cause:% = error; "");
            return;
        }
    };
    let follower = &mut recovered.follower;
    let state = recovered.state;
    log::info!(event = "state_rebuilt", offset:% = state.last_applied(), jobs = state.open_jobs(), malformed = recovered.malformed; "");
    let reads = follower.caught_up_at();
    entry.folded.install(state, Tip { reads, suspended });
    entry
        .config
        .offer_shared(&entry.folded.with(|state| state.config()));
    batch::rebuild(entry);
    follow_until_gap(entry, follower, suspended, &mut rng).await;
}

/// Follows the stream. `suspended_before` is the time for which the machine had been suspended
/// before any read so far.
async fn follow_until_gap(
    entry: &Entry,
    follower: &mut Follower,
    mut suspended_before: Duration,
    rng: &mut StdRng,
) {
    let tip = follower.caught_up_at();
    loop {
        let (last, suspended) = (*tip.borrow(), entry.folded.suspended());
        let read = follower.next(rng).await;
        // By this call, the read of the previous round has become the tip if it reached the end.
        if *tip.borrow() != last {
            entry.folded.set_suspended(suspended_before);
        }
        suspended_before = suspended;
        if let Some(read_at) = *tip.borrow() {
            let folded = entry.folded.with(|state| state.config());
            entry.config.settle(&folded, read_at);
        }
        match read {
            FollowEvent::Batches(batches) => {
                for batch in &batches {
                    fold(entry, batch);
                }
            }
            FollowEvent::Gap { wanted, earliest } => {
                log::error!(event = "log_gap", wanted:%, earliest:%; "records expired before this entry read them");
                return;
            }
            FollowEvent::Rewound { wanted, end } => {
                log::error!(event = "log_rewound", wanted:%, end:%; "the log has lost appends");
                return;
            }
        }
    }
}

fn fold(entry: &Entry, batch: &DecodedBatch) {
    for malformed in &batch.malformed {
        log::error!(event = "record_malformed", place:% = malformed.position, cause:% = malformed.error; "");
    }
    if let BatchEffect::Folded(effects) = entry.folded.apply(batch) {
        entry
            .config
            .offer_shared(&entry.folded.with(|state| state.config()));
        batch::on_folded(entry, batch, &effects);
    }
    entry.folded.notify_folded(batch.offset);
}
