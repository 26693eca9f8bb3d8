//! Folding of records into job and worker state.

use std::cmp::Ordering;
use std::collections::{HashMap, HashSet};

use agate_core::JobId;

use crate::backlog::RunTimes;
use crate::record::{Body, EndCause, LeaderHeartbeat, Record, RunEnd, Suspect};
use crate::table::{Job, JobState};
use crate::worker::{WorkerReport, WorkerState};

/// The leader according to the newest heartbeat.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct Leader {
    /// Epoch of the leader; zero if there has been none.
    pub epoch: u64,
    /// Name of the leading entry; empty if it has resigned or there has been none.
    pub entry: String,
    /// Open suspicions that the heartbeat lists.
    pub suspects: Vec<Suspect>,
}

impl Leader {
    /// Returns whether a heartbeat comes from this leader or a later one. The log takes the appends of
    /// a single entry in each epoch, so the first heartbeat of an epoch shows which entry holds it.
    fn is_continued_by(&self, heartbeat: &LeaderHeartbeat) -> bool {
        let is_holder = self.entry.is_empty() || self.entry == heartbeat.entry;
        heartbeat.epoch > self.epoch || (heartbeat.epoch == self.epoch && is_holder)
    }
}

/// A job in its final state whose other records have been dropped.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Closed {
    queue: String,
    state: JobState,
    at_ms: u64,
    /// Whether a submission of the job may still be stored. It would start the job again in a table
    /// that is loaded after this record has been dropped.
    has_submission: bool,
}

/// Effect of a folded record.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Change {
    /// Nothing the scheduler acts on.
    None,
    /// A job was accepted.
    Submitted(JobId),
    /// A job reached its final state.
    Final(JobId),
    /// A run ended.
    Ended(RunEnd),
    /// An agent reported on the named worker.
    Worker(String),
    /// The leader sent a heartbeat.
    Leader,
    /// The record contradicts what is known, so it is from another writer and has no effect. Says why.
    Rejected(&'static str),
}

/// All jobs, workers and the leader, as folded from the log.
#[derive(Debug, Default)]
pub struct JobTable {
    jobs: HashMap<JobId, Job>,
    closed: HashMap<JobId, Closed>,
    workers: HashMap<String, WorkerReport>,
    leader: Leader,
    ends: HashMap<JobId, Vec<String>>,
    out_of_order: HashMap<JobId, OutOfOrder>,
    early_cancels: HashMap<JobId, Cancel>,
    run_times: RunTimes,
}

/// Events of a job that precede its submission in the log. The log keeps the newest record of each
/// key, so a submission that is recorded again moves behind the job's other records.
#[derive(Debug, Default)]
struct OutOfOrder {
    started: bool,
    ends: Vec<(RunEnd, String)>,
    /// Keys of the ends. An end that is recorded again replaces the first in the log.
    keys: HashSet<String>,
}

/// The cancellation of a job.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Cancel {
    /// Queue that it applies to; any if empty.
    queue: String,
    at_ms: u64,
}

impl Cancel {
    fn applies_to(&self, queue: &str) -> bool {
        self.queue.is_empty() || self.queue == queue
    }
}

/// Most unknown jobs whose start is remembered. A report or heartbeat may name any number of them, while
/// other events have a record of their own in the log, which bounds them.
const MAX_STARTED: usize = 100_000;

impl JobTable {
    /// Folds a record into the state. Records must be passed in log order.
    pub fn fold(&mut self, record: Record) -> Change {
        let Some(body) = record.body else {
            self.remove_key(&record.key);
            return Change::None;
        };
        match body {
            Body::Submitted {
                job,
                spec,
                policy,
                at_ms,
            } => self.submit(job, Job::new(spec, policy, at_ms)),
            Body::Cancelled { job, queue, at_ms } => self.cancel(job, Cancel { queue, at_ms }),
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
                    has_submission: self.jobs.contains_key(&job),
                },
            ),
            Body::Ended(end) => self.end_run(end, record.key),
            Body::Worker(report) => self.update_worker(report),
            Body::Leader(heartbeat) => self.update_leader(heartbeat),
            Body::Order(_) | Body::Suspicion(_) => Change::None,
        }
    }

    /// Returns the state of a job, or `None` if it is unknown.
    pub fn state(&self, job: JobId) -> Option<JobState> {
        match self.closed.get(&job) {
            Some(closed) => Some(closed.state),
            None => self.jobs.get(&job).map(Job::state),
        }
    }

    /// Returns the queue of a job, or `None` if it is unknown.
    pub fn queue(&self, job: JobId) -> Option<&str> {
        match self.closed.get(&job) {
            Some(closed) => Some(&closed.queue),
            None => self.jobs.get(&job).map(|job| job.policy.queue.as_str()),
        }
    }

    /// Returns a job that has not been closed.
    pub fn job(&self, job: JobId) -> Option<&Job> {
        self.jobs.get(&job)
    }

    /// Iterates over the jobs that have not been closed.
    pub fn jobs(&self) -> impl Iterator<Item = (JobId, &Job)> {
        self.jobs.iter().map(|(id, job)| (*id, job))
    }

    /// Returns the number of jobs in a queue that have not started.
    pub fn pending(&self, queue: &str) -> usize {
        let jobs = self.jobs.values();
        jobs.filter(|job| job.policy.queue == queue && job.state() == JobState::Queued)
            .count()
    }

    /// Iterates over the newest report on each worker.
    pub fn workers(&self) -> impl Iterator<Item = &WorkerReport> {
        self.workers.values()
    }

    /// Returns the newest report on a worker.
    pub fn worker(&self, name: &str) -> Option<&WorkerReport> {
        self.workers.get(name)
    }

    /// Returns the run times learned from finished tasks.
    pub const fn run_times(&self) -> &RunTimes {
        &self.run_times
    }

    /// Returns the current leader.
    pub const fn leader(&self) -> &Leader {
        &self.leader
    }

    /// Returns the keys of a job's recorded ends, which are dropped when the job is closed.
    pub fn end_keys(&self, job: JobId) -> &[String] {
        self.ends.get(&job).map_or(&[], Vec::as_slice)
    }

    /// Returns the number of kept events of jobs that are not known.
    pub fn early_events(&self) -> usize {
        let events = self.out_of_order.values();
        let events: usize = events.map(|events| events.ends.len().max(1)).sum();
        events + self.early_cancels.len()
    }

    /// Returns the number of cancellations of jobs that are not known.
    pub fn early_cancels(&self) -> usize {
        self.early_cancels.len()
    }

    /// Returns whether a job that is not known is cancelled as soon as it is submitted to a queue.
    pub fn is_cancelled_early(&self, job: JobId, queue: &str) -> bool {
        let cancel = self.early_cancels.get(&job);
        cancel.is_some_and(|cancel| cancel.applies_to(queue))
    }

    /// Returns the jobs that are not known and were cancelled before `before_ms`.
    pub fn cancelled_before(&self, before_ms: u64) -> Vec<JobId> {
        let cancels = self.early_cancels.iter();
        cancels
            .filter(|(_, cancel)| cancel.at_ms < before_ms)
            .map(|(job, _)| *job)
            .collect()
    }

    /// Returns the jobs that were closed before `before_ms`.
    pub fn closed_before(&self, before_ms: u64) -> Vec<JobId> {
        let closed = self.closed.iter();
        closed
            .filter(|(_, closed)| closed.at_ms < before_ms)
            .map(|(job, _)| *job)
            .collect()
    }

    /// Returns whether a closed job has a submission that may still be stored.
    pub fn has_stale_submission(&self, job: JobId) -> bool {
        self.closed
            .get(&job)
            .is_some_and(|closed| closed.has_submission)
    }

    fn submit(&mut self, id: JobId, job: Job) -> Change {
        if let Some(closed) = self.closed.get_mut(&id) {
            closed.has_submission = true;
            return Change::None;
        }
        if self.jobs.contains_key(&id) {
            return Change::None;
        }
        self.jobs.insert(id, job);
        let out_of_order = self.out_of_order.remove(&id).unwrap_or_default();
        if out_of_order.started {
            self.start_jobs(&[id]);
        }
        for (end, key) in out_of_order.ends {
            self.end_run(end, key);
        }
        if let Some(cancel) = self.early_cancels.remove(&id) {
            self.cancel(id, cancel);
        }
        Change::Submitted(id)
    }

    fn cancel(&mut self, id: JobId, cancel: Cancel) -> Change {
        let Some(job) = self.jobs.get_mut(&id) else {
            if !self.closed.contains_key(&id) {
                self.early_cancels.insert(id, cancel);
            }
            return Change::None;
        };
        if !cancel.applies_to(&job.policy.queue) {
            return Change::None;
        }
        let was_final = job.state().is_final();
        job.cancelled = true;
        if was_final {
            return Change::None;
        }
        Change::Final(id)
    }

    fn close(&mut self, id: JobId, mut closed: Closed) -> Change {
        let known = self.closed.get(&id);
        closed.has_submission |= known.is_some_and(|known| known.has_submission);
        let job = self.jobs.remove(&id);
        self.ends.remove(&id);
        self.out_of_order.remove(&id);
        self.early_cancels.remove(&id);
        self.closed.insert(id, closed);
        if job.is_some_and(|job| !job.state().is_final()) {
            return Change::Final(id);
        }
        Change::None
    }

    fn end_run(&mut self, end: RunEnd, key: String) -> Change {
        let id = end.task.job;
        if self.closed.contains_key(&id) {
            return Change::Ended(end);
        }
        let Some(job) = self.jobs.get_mut(&id) else {
            let events = self.out_of_order.entry(id).or_default();
            if events.keys.insert(key.clone()) {
                events.ends.push((end, key));
            }
            return Change::None;
        };
        if let Err(cause) = job.check_end(&end) {
            return Change::Rejected(cause);
        }
        let keys = self.ends.entry(id).or_default();
        let is_new = !keys.contains(&key);
        if is_new {
            keys.push(key);
        }
        job.apply_end(&end);
        if is_new && end.cause == EndCause::Done {
            learn(&mut self.run_times, job, &end);
        }
        Change::Ended(end)
    }

    fn update_worker(&mut self, report: WorkerReport) -> Change {
        // A start stays evidence, also in a report that takes effect late.
        self.start_jobs(&report.started_jobs);
        let name = report.incarnation.name.clone();
        let known = self.workers.get(&name);
        if known.is_some_and(|known| is_outdated(&report, known)) {
            return Change::None;
        }
        self.workers.insert(name.clone(), report);
        Change::Worker(name)
    }

    fn update_leader(&mut self, heartbeat: LeaderHeartbeat) -> Change {
        self.start_jobs(&heartbeat.started_jobs);
        if heartbeat.epoch < self.leader.epoch {
            return Change::None;
        }
        if !self.leader.is_continued_by(&heartbeat) {
            return Change::Rejected("another entry holds its epoch");
        }
        self.leader = Leader {
            epoch: heartbeat.epoch,
            entry: if heartbeat.resigns {
                String::new()
            } else {
                heartbeat.entry
            },
            suspects: heartbeat.suspects,
        };
        Change::Leader
    }

    fn start_jobs(&mut self, started: &[JobId]) {
        for id in started {
            if let Some(job) = self.jobs.get_mut(id) {
                job.started = true;
            } else if !self.closed.contains_key(id) && self.out_of_order.len() < MAX_STARTED {
                self.out_of_order.entry(*id).or_default().started = true;
            }
        }
    }

    fn remove_key(&mut self, key: &str) {
        let Some((kind, rest)) = key.split_once('/') else {
            return;
        };
        match kind {
            "w" => {
                self.workers.remove(rest);
            }
            "j" => {
                let closed = rest.parse().ok().and_then(|job| self.closed.get_mut(&job));
                if let Some(closed) = closed {
                    closed.has_submission = false;
                }
            }
            "c" => {
                if let Ok(job) = rest.parse() {
                    self.early_cancels.remove(&job);
                }
            }
            "d" => {
                // The leader drops the submission first, unless that was recorded meanwhile. It then
                // drops both.
                if let Ok(job) = rest.parse()
                    && !self.has_stale_submission(job)
                {
                    self.closed.remove(&job);
                }
            }
            _ => {}
        }
    }
}

/// Returns whether a report is older than the newest one. An append may take effect after later ones.
/// Within an incarnation, the term and then the number of the acknowledged suspicion never decrease. Of
/// two reports that agree in both, the one with the later heartbeat is valid: the worker's capacity may
/// have changed. Of two with the same heartbeat, the one from later in the stop of the agent is valid:
/// another agent starts with a later heartbeat. The report that the worker has left is final, and an
/// agent may send it before it knows the term.
fn is_outdated(report: &WorkerReport, known: &WorkerReport) -> bool {
    let start = report.incarnation.started_ms;
    let known_start = known.incarnation.started_ms;
    if start != known_start {
        return start < known_start;
    }
    let progress = |report: &WorkerReport| (report.incarnation.term, report.acked_suspicion);
    let position = |report: &WorkerReport| (report.heartbeat, report.agent);
    let is_earlier = report.heartbeat > 0 && position(report) < position(known);
    let is_older = match progress(report).cmp(&progress(known)) {
        Ordering::Less => true,
        Ordering::Equal => is_earlier,
        Ordering::Greater => false,
    };
    known.state == WorkerState::Gone || (report.state != WorkerState::Gone && is_older)
}

fn learn(run_times: &mut RunTimes, job: &Job, end: &RunEnd) {
    if let (Some(spec), Some(step)) = (job.step(end.task), job.step_progress(end.task)) {
        run_times.record(&job.policy.queue, spec, step);
    }
}
