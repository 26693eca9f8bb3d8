//! Which entry queues a job: a hint that saves wasted bindings, by rendezvous hashing.

use std::sync::Arc;
use std::time::Duration;

use agate_core::hash::stable_hash;
use agate_core::{Incarnation, JobId};
use agate_place::JobSpec;
use agate_state::State;
use agate_super::ChildError;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::table::Inner;
use crate::entry::Entry;

/// Time between two looks at the set of entries.
const INTERVAL: Duration = Duration::from_secs(1);

/// The entries among which work is shared out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Homes {
    me: Incarnation,
    entries: Vec<Incarnation>,
}

impl Homes {
    /// The entries that are known now.
    pub(crate) fn of(entry: &Entry) -> Self {
        let mut entries: Vec<Incarnation> = entry.entries().iter().map(|e| e.incarnation).collect();
        entries.sort_unstable();
        Self {
            me: entry.me.incarnation,
            entries,
        }
    }

    /// Whether this entry is the home of `job`.
    pub(crate) fn is_mine(&self, job: JobId) -> bool {
        self.owner(job.0) == Some(self.me)
    }

    /// Whether this entry looks after a worker.
    pub(crate) fn is_my_worker(&self, worker: Incarnation) -> bool {
        self.owner(worker.get()) == Some(self.me)
    }

    fn owner(&self, work: u64) -> Option<Incarnation> {
        let weight =
            |entry: &Incarnation| stable_hash(&[&entry.get().to_be_bytes(), &work.to_be_bytes()]);
        let entries = self.entries.iter().copied();
        entries.max_by_key(|entry| (weight(entry), *entry))
    }
}

/// Moves jobs in and out of this entry's queue as entries come and go, until `stop` is cancelled.
pub(crate) async fn rehome(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut homes = Homes::of(&entry);
    while stop.run_until_cancelled(sleep(INTERVAL)).await.is_some() {
        let now = Homes::of(&entry);
        if now != homes {
            log::info!(event = "jobs_rehomed", entries = now.entries.len(); "");
            homes = now;
            queue_all(&entry, &homes);
        }
    }
    Ok(())
}

/// Queues every open job whose home this entry is, and drops the others.
pub(super) fn queue_all(entry: &Entry, homes: &Homes) {
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            let jobs: Vec<JobId> = state.jobs().map(|job| job.job).collect();
            for job in jobs {
                if homes.is_mine(job) {
                    queue(entry, state, inner, job);
                } else if inner.queued.remove(&job) {
                    inner.scheduler.cancel(job);
                }
            }
        });
    });
}

/// Queues the tasks of a job that can be bound; a job that is queued is left as it is.
pub(super) fn queue(entry: &Entry, state: &State, inner: &mut Inner, job: JobId) {
    let Some(spec) = spec(state, job) else {
        return;
    };
    if inner.queued.insert(job) {
        inner.scheduler.push(entry.clock.now(), &spec);
    }
}

/// Queues a job anew from the folded state, if it is queued here.
pub(super) fn requeue(entry: &Entry, state: &State, inner: &mut Inner, job: JobId) {
    if !inner.queued.remove(&job) {
        return;
    }
    inner.scheduler.cancel(job);
    queue(entry, state, inner, job);
}

fn spec(state: &State, job: JobId) -> Option<JobSpec> {
    let submitted = state.submission(job)?;
    let runnable = state.runnable_tasks(job).into_iter();
    let tasks = runnable.map(|range| range.first..range.last.saturating_add(1));
    Some(JobSpec {
        id: job,
        team: submitted.team.clone(),
        class: submitted.class.clone(),
        tags: submitted.tags.clone(),
        declared: submitted.declared,
        tasks: tasks.collect(),
    })
}
