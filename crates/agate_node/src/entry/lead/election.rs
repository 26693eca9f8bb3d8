//! Detection of a vacant leadership, and the claim to it.

use std::time::Duration;

use agate_jobs::validity::MAX_EPOCH;
use rand::Rng as _;
use tokio::time::sleep;

use super::delay::ClaimDelay;
use super::{
    HEARTBEAT_PERIOD, LEADER_TIMEOUT, MAX_TAKEOVER_ATTEMPTS, TAKEOVER_RETRY_DELAY, heartbeat_record,
};
use crate::clock;
use crate::entry::Entry;
use crate::store::{AppendError, Fence, Stream};

/// Time between checks for a vacant leadership.
const VACANCY_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Waits until the leader has resigned or been silent for too long.
pub(super) async fn wait_for_vacancy(entry: &Entry, delay: ClaimDelay) {
    let mut vacant_for = Duration::ZERO;
    loop {
        sleep(VACANCY_CHECK_PERIOD).await;
        let now = clock::now();
        let view = entry.view();
        // A relayed entry loses the log if its peers fail as well, so it leaves the claim to others.
        let is_reading = view.synced
            && view.reading.unbroken_since(now) < now
            && !entry.context.log.is_relayed();
        let leader = &view.job_table.leader().entry;
        let resigned = leader.is_empty() || *leader == entry.context.name;
        let since = view.leader_seen_at.max(view.reading.unbroken_since(now));
        let silent = view.reading.last_end().since(since) > LEADER_TIMEOUT + delay.after_silence;
        drop(view);
        vacant_for = if is_reading && resigned {
            vacant_for + VACANCY_CHECK_PERIOD
        } else {
            Duration::ZERO
        };
        if is_reading && (silent || vacant_for > delay.after_resignation) {
            return;
        }
    }
}

/// A claim to an epoch of the main stream.
#[derive(Debug, Clone, Copy)]
pub(super) struct Claim {
    /// The epoch.
    pub epoch: u64,
    /// Sequence number of the append of the claim.
    pub sequence: u64,
    /// Whether the claim is or may be recorded.
    pub may_be_recorded: bool,
    /// Whether the log rejected the claim because it has taken the same or a higher epoch.
    is_rejected: bool,
}

impl Claim {
    /// Chooses the next epoch, given this entry's last claim if that failed. Nothing is recorded yet.
    pub fn new(entry: &Entry, failed: Option<Self>) -> Self {
        let known = entry.view().job_table.leader().epoch;
        Self {
            epoch: next_epoch(
                known,
                failed
                    .filter(|claim| claim.is_rejected)
                    .map(|claim| claim.epoch),
            ),
            sequence: rand::rng().random_range(1..u64::from(u32::MAX)),
            may_be_recorded: false,
            is_rejected: false,
        }
    }
}

/// Returns the epoch to claim after `known`, the newest one that was read. A rejected claim above it means
/// that the log has taken a higher one, whose heartbeat another writer's record has replaced. The distance
/// doubles with each such claim, as the log's answer doesn't tell the epoch.
fn next_epoch(known: u64, rejected: Option<u64>) -> u64 {
    let distance = rejected.map_or(0, |rejected| rejected.saturating_sub(known));
    let next = known.saturating_add(distance.saturating_mul(2).max(1));
    next.min(MAX_EPOCH)
}

/// Records a claim on the main stream. Returns whether this entry holds the epoch; otherwise another
/// entry was faster or the log kept failing.
pub(super) async fn record_claim(entry: &Entry, claim: &mut Claim) -> bool {
    let Claim {
        epoch, sequence, ..
    } = *claim;
    let record = heartbeat_record(entry, epoch);
    let value = match record.value() {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "record_unwritable", cause:% = error; "");
            return false;
        }
    };
    let records = [(record.key, value)];
    let mut last_error = AppendError::NotDone("not attempted".to_owned());
    for _ in 0..MAX_TAKEOVER_ATTEMPTS {
        let fence = Some(Fence { epoch, sequence });
        // The call may be dropped before it has returned.
        let was_uncertain = std::mem::replace(&mut claim.may_be_recorded, true);
        let appended = entry.context.log.append(Stream::Main, &records, fence);
        match appended.await {
            Ok(_) => return true,
            Err(AppendError::Fenced | AppendError::OutOfSequence(_)) => {
                log::info!(event = "claim_lost", epoch = epoch; "another entry was faster");
                claim.may_be_recorded = false;
                claim.is_rejected = true;
                sleep(HEARTBEAT_PERIOD).await;
                return false;
            }
            Err(error) => {
                let is_uncertain = matches!(error, AppendError::Unknown(_));
                claim.may_be_recorded = was_uncertain || is_uncertain;
                last_error = error;
                sleep(TAKEOVER_RETRY_DELAY).await;
            }
        }
    }
    log::warn!(event = "claim_failed", epoch = epoch, cause:% = last_error; "");
    false
}
