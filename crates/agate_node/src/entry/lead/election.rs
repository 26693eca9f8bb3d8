//! Detection of a vacant leadership, and the claim to it.

use std::time::Duration;

use rand::Rng as _;
use tokio::time::sleep;

use super::{
    HEARTBEAT_PERIOD, LEADER_TIMEOUT, MAX_TAKEOVER_ATTEMPTS, TAKEOVER_RETRY_DELAY, heartbeat_record,
};
use crate::clock;
use crate::entry::Entry;
use crate::store::{AppendError, Fence, Stream};

/// Time between checks for a vacant leadership.
const VACANCY_CHECK_PERIOD: Duration = Duration::from_millis(100);

/// Waits until the leader has resigned or been silent for too long.
pub(super) async fn wait_for_vacancy(entry: &Entry, jitter: Duration) {
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
        let silent = view.reading.last_end().since(since) > LEADER_TIMEOUT + jitter;
        drop(view);
        vacant_for = if is_reading && resigned {
            vacant_for + VACANCY_CHECK_PERIOD
        } else {
            Duration::ZERO
        };
        if is_reading && (silent || vacant_for > jitter) {
            return;
        }
    }
}

/// Claims the next epoch on the main stream. Returns the epoch and the sequence number of the
/// append, or `None` if another entry was faster or the log kept failing.
pub(super) async fn claim(entry: &Entry) -> Option<(u64, u64)> {
    let epoch = entry.view().job_table.leader().epoch + 1;
    let sequence = rand::rng().random_range(1..u64::from(u32::MAX));
    let record = heartbeat_record(entry, epoch, Vec::new(), false);
    let value = match record.value() {
        Ok(value) => value,
        Err(error) => {
            log::error!(event = "record_unwritable", cause:% = error; "");
            return None;
        }
    };
    let records = [(record.key, value)];
    let mut last_error = AppendError::NotDone("not attempted".to_owned());
    for _ in 0..MAX_TAKEOVER_ATTEMPTS {
        let fence = Some(Fence { epoch, sequence });
        match entry
            .context
            .log
            .append(Stream::Main, &records, fence)
            .await
        {
            Ok(_) => return Some((epoch, sequence)),
            Err(AppendError::Fenced | AppendError::OutOfSequence(_)) => {
                log::info!(event = "claim_lost", epoch = epoch; "another entry was faster");
                sleep(HEARTBEAT_PERIOD).await;
                return None;
            }
            Err(error) => {
                last_error = error;
                sleep(TAKEOVER_RETRY_DELAY).await;
            }
        }
    }
    log::warn!(event = "claim_failed", epoch = epoch, cause:% = last_error; "");
    None
}
