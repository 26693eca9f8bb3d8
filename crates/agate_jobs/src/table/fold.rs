//! Folding of records.

use std::collections::HashMap;

use agate_core::JobId;

use crate::record::{Body, LeaderHeartbeat, Record, RunEnd};
use crate::table::{Job, JobState};
use crate::worker::WorkerReport;

/// The entry that schedules, as the newest sign of life tells.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Leader {
    /// Its epoch; zero if there has been none.
    pub epoch: u64,
    /// Its name; empty if it has resigned or there has been none.
    pub entry: String,
}

/// A job that has come to its final state.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Closed {
    queue: String,
    state: JobState,
    at_ms: u64,
}

/// What a record changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// A job was accepted.
    Submitted(JobId),
    /// A job came to its final state.
    Final(JobId),
    /// A run ended.
    Ended(RunEnd),
    /// An agent reported.
    Worker(String),
    /// The scheduling entry gave a sign of life.
    Leader,
}

/// Jobs, workers and the scheduling entry.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<JobId, Job>,
    closed: HashMap<JobId, Closed>,
    workers: HashMap<String, WorkerReport>,
    leader: Leader,
    ends: HashMap<JobId, Vec<String>>,
    early: HashMap<JobId, Early>,
}

/// What was read of a job before its submission. A submission that is recorded again moves behind
/// other records of the job.
#[derive(Debug, Default)]
struct Early {
    cancelled: bool,
    ends: Vec<(RunEnd, String)>,
}

impl JobTable {
    /// Folds a record in; records are given in the order of the log.
    pub fn fold(&mut self, record: Record) -> Change {
        let Some(body) = record.body else {
            self.drop_key(&record.key);
            return Change::None;
        };
        match body {
            Body::Submitted {
                job,
                spec,
                policy,
                at_ms,
            } => self.submit(job, Job::new(spec, policy, at_ms)),
            Body::Cancelled { job } => self.cancel(job),
            Body::Closed {
                job,
                queue,
                state,
                at_ms,
            } => self.close(
                job,
                Closed {
                    queue,
                    state,
                    at_ms,
                },
            ),
            Body::Ended(end) => self.end(end, record.key),
            Body::Worker(report) => self.report(report),
            Body::Leader(beat) => self.beat(beat),
            Body::Order(_) | Body::Suspicion(_) => Change::None,
        }
    }

    /// State of a job; `None` if no such job is on record.
    pub fn state(&self, job: JobId) -> Option<JobState> {
        match self.closed.get(&job) {
            Some(closed) => Some(closed.state),
            None => self.jobs.get(&job).map(Job::state),
        }
    }

    /// Queue of a job; `None` if no such job is on record.
    pub fn queue(&self, job: JobId) -> Option<&str> {
        match self.closed.get(&job) {
            Some(closed) => Some(&closed.queue),
            None => self.jobs.get(&job).map(|job| job.policy.queue.as_str()),
        }
    }

    /// A job whose records are still kept.
    pub fn job(&self, job: JobId) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// Every job whose records are still kept.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Jobs of a queue of which no task has been started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.policy.queue == queue && job.state() == JobState::Queued)
            .count()
    }

    /// The newest report on each worker.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerReport> {
        self.workers.values()
    }

    /// The newest report on a worker.
    pub fn worker(&self, name: &str) -> Option<&WorkerReport> {
        self.workers.get(name)
    }

    /// The entry that schedules.
    pub const fn leader(&self) -> &Leader {
        &self.leader
    }

    /// Keys of the ends on record for a job, to be dropped when it is closed.
    pub fn end_keys(&self, job: JobId) -> &[String] {
        self.ends.get(&job).map_or(&[], Vec::as_slice)
    }

    /// Closed jobs whose final state was recorded before `before_ms`.
    pub fn closed_before(&self, before_ms: u64) -> Vec<JobId> {
        let closed = self.closed.iter();
        closed
            .filter(|(_, closed)| closed.at_ms < before_ms)
            .map(|(job, _)| *job)
            .collect()
    }

    fn submit(&mut self, id: JobId, job: Job) -> Change {
        if self.jobs.contains_key(&id) || self.closed.contains_key(&id) {
            return Change::None;
        }
        self.jobs.insert(id, job);
        let early = self.early.remove(&id).unwrap_or_default();
        for (end, key) in early.ends {
            self.end(end, key);
        }
        if early.cancelled {
            self.cancel(id);
        }
        Change::Submitted(id)
    }

    fn cancel(&mut self, id: JobId) -> Change {
        let Some(job) = self.jobs.get_mut(&id) else {
            if !self.closed.contains_key(&id) {
                self.early.entry(id).or_default().cancelled = true;
            }
            return Change::None;
        };
        if job.state().is_final() {
            return Change::None;
        }
        job.cancelled = true;
        Change::Final(id)
    }

    fn close(&mut self, id: JobId, closed: Closed) -> Change {
        self.jobs.remove(&id);
        self.ends.remove(&id);
        self.early.remove(&id);
        self.closed.insert(id, closed);
        Change::None
    }

    fn end(&mut self, end: RunEnd, key: String) -> Change {
        let id = end.task.job;
        if self.closed.contains_key(&id) {
            return Change::Ended(end);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            self.early.entry(id).or_default().ends.push((end, key));
            return Change::None;
        };
        let keys = self.ends.entry(id).or_default();
        if !keys.contains(&key) {
            keys.push(key);
        }
        job.apply_end(&end);
        Change::Ended(end)
    }

    fn report(&mut self, report: WorkerReport) -> Change {
        let name = report.incarnation.name.clone();
        let older =
            |known: &WorkerReport| known.incarnation.started_ms > report.incarnation.started_ms;
        if self.workers.get(&name).is_some_and(older) {
            return Change::None;
        }
        self.workers.insert(name.clone(), report);
        Change::Worker(name)
    }

    fn beat(&mut self, beat: LeaderHeartbeat) -> Change {
        for id in &beat.started_jobs {
            if let Some(job) = self.jobs.get_mut(id) {
                job.started = true;
            }
        }
        if beat.epoch < self.leader.epoch {
            return Change::None;
        }
        self.leader = Leader {
            epoch: beat.epoch,
            entry: if beat.resigns {
                String::new()
            } else {
                beat.entry
            },
        };
        Change::Leader
    }

    fn drop_key(&mut self, key: &str) {
        let Some((kind, rest)) = key.split_once('/') else {
            return;
        };
        match kind {
            "w" => {
                self.workers.remove(rest);
            }
            "d" => {
                if let Ok(job) = rest.parse() {
                    self.closed.remove(&job);
                }
            }
            _ => {}
        }
    }
}
