//! How a worker has done lately.

use std::time::Duration;

use agate_core::{JobId, Moment};

use crate::record::EndCause;

/// Time over which failures are remembered.
const MEMORY: Duration = Duration::from_secs(6);

/// Failures of different jobs within [`MEMORY`], with fewer successes, that close a worker.
const FAILURES: usize = 2;

/// Failures in a row, of more than one job, that close a worker whatever went well before.
const STREAK: usize = 3;

/// How long a worker that fails what it starts is left alone before the next try.
const QUARANTINE: Duration = Duration::from_millis(2_500);

/// How long a worker that refused a start is left alone.
const REFUSAL_PAUSE: Duration = Duration::from_millis(400);

/// Weight of a new run in the average slowness.
const WEIGHT: f64 = 0.2;

/// Recent results of a worker.
#[derive(Debug, Default)]
pub(super) struct Health {
    failures: Vec<(Moment, JobId)>,
    successes: Vec<Moment>,
    /// Jobs of the failures since the last success.
    streak: Vec<JobId>,
    closed_until: Moment,
    /// Whether nothing has succeeded since it was closed for failures.
    doubtful: bool,
    /// Tasks that were bound since, to find out.
    probes: u32,
    /// Average of the natural logarithm of run time over estimate.
    pub slowness: f64,
}

impl Health {
    pub fn takes_tasks(&self, now: Moment) -> bool {
        now >= self.closed_until
    }

    /// Whether a task that is to show how the worker does is under way. Until one has succeeded, no
    /// others follow.
    pub const fn is_probed(&self) -> bool {
        self.doubtful && self.probes > 0
    }

    /// Takes note that a task was bound.
    pub const fn bound(&mut self) {
        if self.doubtful {
            self.probes += 1;
        }
    }

    /// Takes the end of a run of `job`.
    pub fn ended(&mut self, job: JobId, cause: EndCause, now: Moment) {
        self.forget(now);
        self.probes = self.probes.saturating_sub(1);
        match cause {
            EndCause::Done => {
                self.doubtful = false;
                self.streak.clear();
                self.successes.push(now);
            }
            EndCause::Failed => self.failed(job, now),
            EndCause::Stalled => self.quarantine(now),
            EndCause::NoRoom | EndCause::Refused => self.close(now + REFUSAL_PAUSE),
            _ => {}
        }
    }

    /// Takes the run time of a finished task; the average over all workers is taken off.
    pub fn ran(&mut self, log_ratio: f64) {
        self.slowness += WEIGHT * (log_ratio - self.slowness);
    }

    fn failed(&mut self, job: JobId, now: Moment) {
        if !self.failures.iter().any(|(_, known)| *known == job) {
            self.failures.push((now, job));
        }
        self.streak.push(job);
        let several = self.streak.iter().any(|known| *known != job);
        let in_a_row = self.streak.len() >= STREAK && several;
        let mostly = self.failures.len() >= FAILURES && self.successes.len() < self.failures.len();
        if in_a_row || mostly || self.doubtful {
            self.quarantine(now);
        }
    }

    fn quarantine(&mut self, now: Moment) {
        if !self.doubtful {
            self.probes = 0;
        }
        self.streak.clear();
        self.doubtful = true;
        self.close(now + QUARANTINE);
    }

    fn close(&mut self, until: Moment) {
        self.closed_until = self.closed_until.max(until);
    }

    fn forget(&mut self, now: Moment) {
        self.failures.retain(|(at, _)| now.since(*at) < MEMORY);
        self.successes.retain(|at| now.since(*at) < MEMORY);
    }
}
