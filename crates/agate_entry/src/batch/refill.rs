//! Periodic comparison of the queue with the folded state, which finds jobs that no event has
//! queued.
//!
//! While a job opens, entries may briefly disagree about the set of entries, so that each takes
//! another one for the owner.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use agate_core::JobId;
use agate_place::Scheduler;
use agate_state::State;
use agate_super::ChildError;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::ownership::{self, Ownership};
use crate::entry::Entry;

/// Interval between scans.
const INTERVAL: Duration = Duration::from_secs(5);

/// Jobs compared per scan, not counting suspects. The next scan continues after them.
const JOBS_PER_SCAN: usize = 256;

/// Scans until `stop` is cancelled.
pub(crate) async fn refill(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut scan = Scan::default();
    while stop.run_until_cancelled(sleep(INTERVAL)).await.is_some() {
        scan.run(&entry);
    }
    Ok(())
}

/// Progress of the comparison.
#[derive(Debug, Default)]
struct Scan {
    last: Option<JobId>,
    /// Jobs with missing tasks at the last scan. A task in transition is missing for a moment, so a
    /// job is requeued only if tasks are still missing at the next scan.
    suspects: BTreeSet<JobId>,
}

impl Scan {
    fn run(&mut self, entry: &Entry) {
        let ownership = Ownership::of(entry);
        let suspects = std::mem::take(&mut self.suspects);
        entry.folded.with(|state| {
            let mut jobs = self.next_jobs(state);
            jobs.extend(&suspects);
            for job in jobs {
                if !ownership.owns_job(job) {
                    drop_job(entry, job);
                } else if is_missing_tasks(entry, state, job) {
                    self.suspects.insert(job);
                }
            }
            for job in suspects.intersection(&self.suspects) {
                requeue_missing(entry, state, *job);
            }
        });
    }

    fn next_jobs(&mut self, state: &State) -> BTreeSet<JobId> {
        let jobs = state.jobs_after(self.last).take(JOBS_PER_SCAN);
        let jobs: BTreeSet<JobId> = jobs.collect();
        let at_end = jobs.len() < JOBS_PER_SCAN;
        self.last = jobs.last().copied().filter(|_| !at_end);
        jobs
    }
}

/// Returns whether a bindable task of `job` is neither queued nor placed.
fn is_missing_tasks(entry: &Entry, state: &State, job: JobId) -> bool {
    let runnable = state.runnable_tasks(job);
    let has_all = |scheduler: &Scheduler| {
        let mut ranges = runnable.iter();
        ranges
            .all(|range| scheduler.contains_all(job, &(range.first..range.last.saturating_add(1))))
    };
    entry.batch.without_wake(|inner| !has_all(&inner.scheduler))
}

fn requeue_missing(entry: &Entry, state: &State, job: JobId) {
    log::warn!(event = "job_queued_anew", job:%; "bindable tasks were not queued");
    entry.batch.with(|inner| {
        inner.queued.remove(&job);
        inner.scheduler.cancel(job);
        ownership::queue(entry, state, inner, job);
    });
}

fn drop_job(entry: &Entry, job: JobId) {
    entry.batch.without_wake(|inner| {
        if inner.queued.remove(&job) {
            inner.scheduler.cancel(job);
        }
    });
}
