//! Replaces holders of runs that have vanished.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agate_core::{Incarnation, Resources, RunId};
use agate_records::{Body, MemberLost, RunEnd, RunEnded};
use agate_super::ChildError;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::home::Homes;
use crate::entry::Entry;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_millis(500);

/// Age of the state above which nobody is given up.
const MAX_AGE: Duration = Duration::from_secs(3);

/// Ends recorded in one append.
const ENDS_PER_APPEND: usize = 500;

/// Looks for holders that have vanished until `stop` is cancelled.
///
/// A holder that this entry has not heard of for the time of forgetting is recorded as lost. Its
/// runs are ended once every lease that it may hold has lapsed since this entry read that record.
pub(crate) async fn reap(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut watch = Watch::default();
    while stop.run_until_cancelled(sleep(INTERVAL)).await.is_some() {
        if entry.folded.age().is_none_or(|age| age > MAX_AGE) {
            continue;
        }
        let look = watch.look(&entry);
        if stop.run_until_cancelled(look).await.is_none() {
            break;
        }
    }
    Ok(())
}

/// Since when holders are missing, and since when they are known to be lost.
#[derive(Debug, Default)]
struct Watch {
    missing: HashMap<Incarnation, Instant>,
    lost: HashMap<Incarnation, Instant>,
}

impl Watch {
    async fn look(&mut self, entry: &Entry) {
        let (holders, lost) = entry.folded.with(|state| {
            let holders: Vec<Incarnation> = state.holders().collect();
            let lost: Vec<Incarnation> = state.lost_holders().collect();
            (holders, lost)
        });
        self.missing.retain(|holder, _| holders.contains(holder));
        self.lost.retain(|holder, _| lost.contains(holder));
        for holder in holders.iter().filter(|holder| !lost.contains(holder)) {
            self.look_at(entry, *holder).await;
        }
        for holder in lost {
            self.end_runs(entry, holder).await;
        }
    }

    /// Records a holder as lost that has been missing for long enough.
    async fn look_at(&mut self, entry: &Entry, holder: Incarnation) {
        if entry.members.target(holder).is_some() {
            self.missing.remove(&holder);
            return;
        }
        let since = *self.missing.entry(holder).or_insert_with(Instant::now);
        let replaced = entry
            .batch
            .quietly(|inner| inner.replaced.contains(&holder));
        if !replaced && since.elapsed() < patience(entry, holder) {
            return;
        }
        let record = MemberLost {
            incarnation: holder,
        };
        match entry.commit().one(record).await {
            Ok(_) => log::warn!(event = "holder_given_up", incarnation:% = holder; ""),
            Err(error) => {
                log::warn!(event = "loss_not_recorded", incarnation:% = holder, cause:% = error; "");
            }
        }
    }

    /// Ends the runs of a lost holder once its leases have lapsed.
    async fn end_runs(&mut self, entry: &Entry, holder: Incarnation) {
        let since = *self.lost.entry(holder).or_insert_with(Instant::now);
        let now = entry.clock.now();
        let lapse = entry
            .batch
            .quietly(|inner| Some(inner.leases.as_ref()?.fencing_delay(now)));
        if lapse.is_none_or(|lapse| since.elapsed() < lapse) {
            return;
        }
        let runs = entry.folded.with(|state| state.runs_held_by(holder));
        for chunk in runs.chunks(ENDS_PER_APPEND) {
            let records = chunk.iter().map(|run| lost(*run, holder)).collect();
            if let Err(error) = entry.commit().all(records).await {
                log::warn!(event = "ends_not_recorded", incarnation:% = holder, cause:% = error; "");
                return;
            }
        }
        log::warn!(event = "runs_lost", incarnation:% = holder, runs = runs.len(); "");
    }
}

/// Time for which a holder must be missing. The entry that looks after it comes first; the others
/// follow if that one doesn't.
fn patience(entry: &Entry, holder: Incarnation) -> Duration {
    let patience = Duration::from_millis(u64::from(entry.preset().membership.forget_ms));
    if Homes::of(entry).is_my_worker(holder) {
        patience
    } else {
        patience * 2
    }
}

fn lost(run: RunId, holder: Incarnation) -> Body {
    RunEnded {
        run,
        incarnation: holder,
        end: RunEnd::Lost,
        peak: Resources::ZERO,
    }
    .into()
}
