//! Regular comparison of the queue with the folded state, which finds jobs that no event has queued.
//!
//! Entries may disagree for a moment about who is there when a job opens, so that each takes
//! another one for its home.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use agate_core::JobId;
use agate_place::Scheduler;
use agate_state::State;
use agate_super::ChildError;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::home::{self, Homes};
use crate::entry::Entry;

/// Time between two looks.
const INTERVAL: Duration = Duration::from_secs(5);

/// Jobs compared at one look, those under suspicion aside. The next look goes on behind them.
const JOBS_PER_LOOK: usize = 256;

/// Compares until `stop` is cancelled.
pub(crate) async fn refill(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut round = Round::default();
    while stop.run_until_cancelled(sleep(INTERVAL)).await.is_some() {
        round.look(&entry);
    }
    Ok(())
}

/// Where the comparison has got to.
#[derive(Debug, Default)]
struct Round {
    last: Option<JobId>,
    /// Jobs that lacked tasks at the last look. A task that is just changing hands is lacking for
    /// a moment, so a job is queued anew only if it still lacks some at the next look.
    suspects: BTreeSet<JobId>,
}

impl Round {
    fn look(&mut self, entry: &Entry) {
        let homes = Homes::of(entry);
        let suspects = std::mem::take(&mut self.suspects);
        entry.folded.with(|state| {
            let mut jobs = self.next_jobs(state);
            jobs.extend(&suspects);
            for job in jobs {
                if !homes.is_mine(job) {
                    drop_job(entry, job);
                } else if lacks(entry, state, job) {
                    self.suspects.insert(job);
                }
            }
            for job in suspects.intersection(&self.suspects) {
                queue_anew(entry, state, *job);
            }
        });
    }

    fn next_jobs(&mut self, state: &State) -> BTreeSet<JobId> {
        let jobs = state.jobs_after(self.last).take(JOBS_PER_LOOK);
        let jobs: BTreeSet<JobId> = jobs.collect();
        let at_end = jobs.len() < JOBS_PER_LOOK;
        self.last = jobs.last().copied().filter(|_| !at_end);
        jobs
    }
}

/// Whether a task of `job` that can be bound neither waits nor is placed.
fn lacks(entry: &Entry, state: &State, job: JobId) -> bool {
    let runnable = state.runnable_tasks(job);
    let held = |scheduler: &Scheduler| {
        let mut ranges = runnable.iter();
        ranges
            .all(|range| scheduler.contains_all(job, &(range.first..range.last.saturating_add(1))))
    };
    entry.batch.quietly(|inner| !held(&inner.scheduler))
}

fn queue_anew(entry: &Entry, state: &State, job: JobId) {
    log::warn!(event = "job_queued_anew", job:%; "tasks that can be bound were not queued");
    entry.batch.with(|inner| {
        inner.queued.remove(&job);
        inner.scheduler.cancel(job);
        home::queue(entry, state, inner, job);
    });
}

fn drop_job(entry: &Entry, job: JobId) {
    entry.batch.quietly(|inner| {
        if inner.queued.remove(&job) {
            inner.scheduler.cancel(job);
        }
    });
}
