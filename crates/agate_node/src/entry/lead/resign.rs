//! Resignation of an entry that is told to stop before it schedules.

use std::time::Duration;

use tokio::sync::mpsc::UnboundedReceiver;
use tokio::time::{sleep, timeout};

use super::election::Claim;
use super::{RESIGN_TIMEOUT, resignation_record};
use crate::entry::Entry;
use crate::entry::writers::{Outcome, StreamWriters};
use crate::metrics::Event;
use crate::store::{AppendError, Fence, Stream};

/// Pause before the append of a resignation is retried.
const RETRY_DELAY: Duration = Duration::from_millis(40);

/// Gives up a claim whose append is or may be recorded. Otherwise the other entries would wait for
/// heartbeats of this one.
pub(super) async fn resign_claim(entry: &Entry, claim: Claim) {
    if !claim.may_be_recorded {
        return;
    }
    let result = timeout(RESIGN_TIMEOUT, append_resignation(entry, claim)).await;
    log_resignation(entry, claim.epoch, result.unwrap_or(Err(None)));
}

/// Gives up a claim that seemed to fail, if it has been read as that of the current leader.
pub(super) async fn resign_own_claim(entry: &Entry, claim: Option<Claim>) {
    let Some(claim) = claim else { return };
    let leader = entry.view().job_table.leader().clone();
    if leader.epoch == claim.epoch && leader.entry == entry.context.name {
        resign_claim(entry, claim).await;
    }
}

/// Gives up an epoch during the takeover, after the records that `writers` has queued.
pub(super) async fn resign_takeover(
    entry: &Entry,
    epoch: u64,
    mut writers: StreamWriters,
    mut outcomes: UnboundedReceiver<Outcome>,
) {
    writers.write(Stream::Main, resignation_record(entry, epoch));
    let finished = timeout(RESIGN_TIMEOUT, writers.finish()).await;
    let mut recorded = std::iter::from_fn(|| outcomes.try_recv().ok());
    let result = match finished {
        Err(_elapsed) => Err(None),
        Ok(()) if recorded.any(|outcome| matches!(outcome, Outcome::Deposed(_))) => {
            Err(Some(AppendError::Fenced))
        }
        Ok(()) => Ok(()),
    };
    log_resignation(entry, epoch, result);
}

fn log_resignation(entry: &Entry, epoch: u64, result: Result<(), Option<AppendError>>) {
    match result {
        Ok(()) => {
            entry.context.metrics.count(Event::ClaimResigned);
            log::info!(event = "claim_resigned", epoch = epoch; "this entry is told to stop");
        }
        Err(Some(error)) => {
            log::info!(event = "claim_lost", epoch = epoch, cause:% = error; "nothing to resign");
        }
        Err(None) => {
            log::warn!(event = "resign_unfinished", epoch = epoch; "others take over later");
        }
    }
}

/// Appends the resignation with the number after that of the claim. If the claim was not recorded,
/// this is the first append of the epoch, and the claim can no longer be recorded after it.
async fn append_resignation(entry: &Entry, claim: Claim) -> Result<(), Option<AppendError>> {
    let record = resignation_record(entry, claim.epoch);
    let value = record
        .value()
        .map_err(|error| Some(AppendError::NotDone(error.to_string())))?;
    let records = [(record.key, value)];
    let fence = Fence {
        epoch: claim.epoch,
        sequence: claim.sequence + 1,
    };
    loop {
        let log = &entry.context.log;
        match log.append(Stream::Main, &records, Some(fence)).await {
            Ok(_) => return Ok(()),
            // The log no longer repeats the answer to an append that it has recorded.
            Err(AppendError::OutOfSequence(next)) if next == fence.sequence + 1 => return Ok(()),
            Err(error @ (AppendError::Fenced | AppendError::OutOfSequence(_))) => {
                return Err(Some(error));
            }
            Err(_) => sleep(RETRY_DELAY).await,
        }
    }
}
