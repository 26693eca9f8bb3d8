//! Assignment of jobs and workers to entries by rendezvous hashing. It is only a hint that avoids
//! conflicting bindings.

use std::sync::Arc;
use std::time::Duration;

use agate_core::hash::stable_hash;
use agate_core::{Incarnation, JobId};
use agate_place::JobSpec;
use agate_state::State;
use agate_super::ChildError;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::shared::Inner;
use crate::entry::Entry;

/// Interval between checks of the set of entries.
const INTERVAL: Duration = Duration::from_secs(1);

/// The entries that share the work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Ownership {
    me: Incarnation,
    entries: Vec<Incarnation>,
}

impl Ownership {
    /// Returns the assignment among the entries known now. An entry that leaves places nothing, so it is
    /// left out if there are others.
    pub(crate) fn of(entry: &Entry) -> Self {
        let mut entries: Vec<Incarnation> = entry.entries().iter().map(|e| e.incarnation).collect();
        if entry.drain.leaving.is_cancelled() && entries.len() > 1 {
            entries.retain(|known| *known != entry.me.incarnation);
        }
        entries.sort_unstable();
        Self {
            me: entry.me.incarnation,
            entries,
        }
    }

    /// Returns whether this entry queues `job`.
    pub(crate) fn owns_job(&self, job: JobId) -> bool {
        self.owner(job.0) == Some(self.me)
    }

    /// Returns whether this entry is responsible for `worker`.
    pub(crate) fn owns_worker(&self, worker: Incarnation) -> bool {
        self.owner(worker.get()) == Some(self.me)
    }

    fn owner(&self, work: u64) -> Option<Incarnation> {
        let weight =
            |entry: &Incarnation| stable_hash(&[&entry.get().to_be_bytes(), &work.to_be_bytes()]);
        let entries = self.entries.iter().copied();
        entries.max_by_key(|entry| (weight(entry), *entry))
    }
}

/// Moves jobs in and out of this entry's queue as the set of entries changes, until `stop` is
/// cancelled.
pub(crate) async fn rehome(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut ownership = Ownership::of(&entry);
    while stop.run_until_cancelled(sleep(INTERVAL)).await.is_some() {
        let current = Ownership::of(&entry);
        if current != ownership {
            log::info!(event = "jobs_rehomed", entries = current.entries.len(); "");
            ownership = current;
            queue_all(&entry, &ownership);
        }
    }
    Ok(())
}

/// Queues the open jobs that this entry owns and drops the others.
pub(super) fn queue_all(entry: &Entry, ownership: &Ownership) {
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            let jobs: Vec<JobId> = state.jobs().map(|job| job.job).collect();
            for job in jobs {
                if ownership.owns_job(job) {
                    queue(entry, state, inner, job);
                } else if inner.queued.remove(&job) {
                    inner.scheduler.cancel(job);
                }
            }
        });
    });
}

/// Queues the bindable tasks of a job, unless the job is already queued.
pub(super) fn queue(entry: &Entry, state: &State, inner: &mut Inner, job: JobId) {
    let Some(spec) = spec(state, job) else {
        return;
    };
    if inner.queued.insert(job) {
        inner.scheduler.push(entry.clock.now(), &spec);
    }
}

/// Rebuilds a queued job from the folded state. Does nothing if it is not queued here.
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
