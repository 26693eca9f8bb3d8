//! Detection of lost holders of runs.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use agate_core::{Incarnation, Resources, RunId};
use agate_records::{Body, MemberLost, RunEnd, RunEnded};
use agate_super::ChildError;
use tokio::time::{Instant, sleep};
use tokio_util::sync::CancellationToken;

use super::dispatch::Order;
use super::ownership::Ownership;
use crate::entry::Entry;

/// Interval between scans.
const INTERVAL: Duration = Duration::from_millis(500);

/// Age of the state above which no holder is declared lost.
const MAX_STATE_AGE: Duration = Duration::from_secs(3);

/// Maximum number of run ends per append.
const ENDS_PER_APPEND: usize = 500;

/// Detects lost holders until `stop` is cancelled.
///
/// A holder that has been unknown to this entry for the forget time is recorded as lost. Its runs
/// are ended once every lease that it may hold has lapsed, counted from when this entry read that
/// record.
pub(crate) async fn reap(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut reaper = Reaper::default();
    while stop.run_until_cancelled(sleep(INTERVAL)).await.is_some() {
        if entry.folded.age().is_none_or(|age| age > MAX_STATE_AGE) {
            continue;
        }
        let scan = reaper.scan(&entry);
        if stop.run_until_cancelled(scan).await.is_none() {
            break;
        }
    }
    Ok(())
}

/// When each holder was first seen missing, and when its loss was first seen in the log.
#[derive(Debug, Default)]
struct Reaper {
    missing: HashMap<Incarnation, Instant>,
    lost: HashMap<Incarnation, Instant>,
}

impl Reaper {
    async fn scan(&mut self, entry: &Entry) {
        let (holders, lost) = entry.folded.with(|state| {
            let holders: Vec<Incarnation> = state.holders().collect();
            let lost: Vec<Incarnation> = state.lost_holders().collect();
            (holders, lost)
        });
        self.missing.retain(|holder, _| holders.contains(holder));
        self.lost.retain(|holder, _| lost.contains(holder));
        forget_left(entry, &holders);
        for holder in &holders {
            repeat_starts(entry, *holder);
        }
        for holder in holders.iter().filter(|holder| !lost.contains(holder)) {
            self.check_holder(entry, *holder).await;
        }
        for holder in lost {
            self.end_runs(entry, holder).await;
        }
    }

    /// Records a holder as lost if it has been missing for long enough.
    async fn check_holder(&mut self, entry: &Entry, holder: Incarnation) {
        if entry.members.target(holder).is_some() {
            self.missing.remove(&holder);
            return;
        }
        let since = *self.missing.entry(holder).or_insert_with(Instant::now);
        let replaced = entry
            .batch
            .without_wake(|inner| inner.replaced.contains(&holder));
        if !replaced && since.elapsed() < forget_timeout(entry, holder) {
            return;
        }
        let record = MemberLost {
            incarnation: holder,
        };
        match entry.commit().write_one(record).await {
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
        let delay = entry
            .batch
            .without_wake(|inner| Some(inner.leases.as_ref()?.fencing_delay(now)));
        if delay.is_none_or(|delay| since.elapsed() < delay) {
            return;
        }
        let runs = entry.folded.with(|state| state.runs_held_by(holder));
        for chunk in runs.chunks(ENDS_PER_APPEND) {
            let records = chunk.iter().map(|run| lost_run(*run, holder)).collect();
            if let Err(error) = entry.commit().write_all(records).await {
                log::warn!(event = "ends_not_recorded", incarnation:% = holder, cause:% = error; "");
                return;
            }
        }
        log::warn!(event = "runs_lost", incarnation:% = holder, runs = runs.len(); "");
    }
}

/// Orders the runs again that were bound to an agent while it left, which may have exited: its heartbeats
/// then no longer do. The failure of such an order ends the run.
fn repeat_starts(entry: &Entry, holder: Incarnation) {
    let ownership = Ownership::of(entry);
    entry.folded.with(|state| {
        entry.batch.without_wake(|inner| {
            let runs = state.runs_held_by(holder).into_iter();
            for run in runs.filter(|run| inner.is_unstartable(*run, holder)) {
                if ownership.owns_job(run.task.job) {
                    entry.batch.enqueue_order(Order::Start(run));
                }
            }
        });
    });
}

/// Forgets agents that have left once they are unknown and hold no run.
fn forget_left(entry: &Entry, holders: &[Incarnation]) {
    entry.batch.without_wake(|inner| {
        inner
            .leaving
            .retain(|agent, _| holders.contains(agent) || entry.members.target(*agent).is_some());
    });
}

/// Returns how long a holder must be missing. The entry responsible for it acts first; the others
/// act as a fallback.
fn forget_timeout(entry: &Entry, holder: Incarnation) -> Duration {
    let timeout = Duration::from_millis(u64::from(entry.preset().membership.forget_ms));
    if Ownership::of(entry).owns_worker(holder) {
        timeout
    } else {
        timeout * 2
    }
}

fn lost_run(run: RunId, holder: Incarnation) -> Body {
    RunEnded {
        run,
        incarnation: holder,
        end: RunEnd::Lost,
        peak: Resources::ZERO,
    }
    .into()
}
