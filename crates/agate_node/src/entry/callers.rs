//! Handles callers' requests.

use std::ops::RangeInclusive;
use std::time::Duration;

use agate_core::{JobId, clock};
use agate_jobs::record::Body;
use agate_jobs::{JobSpec, JobState, Record, Route};
use rand::Rng as _;
use tokio::time::Instant;

use super::Entry;
use super::config;
use crate::appender::AppenderError;
use crate::metrics::Event;

/// Seconds after which a refused caller may retry. By then the log has recovered or another entry has
/// taken over. Spread, so that callers refused together don't return together.
const RETRY_AFTER_S: RangeInclusive<u64> = 1..=2;

/// Time for which an append that the log refuses is retried before the caller is refused: a quarter
/// of the shortest latency objective (300 ms), less the time of a call.
const APPEND_TIMEOUT: Duration = Duration::from_millis(60);

/// Longest time for which a caller waits until the entry has read up to the end of the log.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(900);

/// Most cancellations of unknown jobs that are kept, for the retention time each. Each has a record, which
/// every load of the main stream reads, in pages of 500.
const MAX_EARLY_CANCELS: usize = 20_000;

/// Answer to a caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "snake_case")]
pub enum Answer {
    /// The job is recorded.
    Accepted,
    /// The job is cancelled.
    Cancelled,
    /// The job's state.
    State(JobState),
    /// Number of accepted jobs of which no task has started.
    Pending(usize),
    /// There is no such queue.
    NoQueue,
    /// There is no such job.
    NoJob,
    /// Nothing was done; the caller may retry.
    Refused,
    /// Unknown whether the call took effect.
    Unknown,
}

/// A caller's reference to a job.
#[derive(Debug, Clone, Copy)]
pub struct JobRef<'a> {
    /// The queue's route.
    pub route: &'a Route,
    /// The job's id.
    pub job: JobId,
}

/// Returns the time after which a refused caller may retry, in whole seconds.
pub fn retry_after() -> Duration {
    Duration::from_secs(rand::rng().random_range(RETRY_AFTER_S))
}

impl Entry {
    /// Returns the route of a request. If the current configuration has none, what was recorded since
    /// is read before the request is rejected.
    ///
    /// # Errors
    ///
    /// Returns [`Answer::NoQueue`] if there is no such queue and [`Answer::Refused`] if that could
    /// not be determined.
    pub async fn find_route(&self, host: &str, path: &str) -> Result<Route, Answer> {
        let table = self.routes();
        if let Some(route) = table.find(host, path) {
            return Ok(route.clone());
        }
        let caught_up = tokio::time::timeout(CATCH_UP_TIMEOUT, config::apply_new(self)).await;
        if !matches!(caught_up, Ok(Ok(()))) {
            return Err(Answer::Refused);
        }
        let table = self.routes();
        if table.version == 0 {
            return Err(Answer::Refused);
        }
        table.find(host, path).cloned().ok_or_else(|| {
            self.context.metrics.count(Event::NotFound);
            Answer::NoQueue
        })
    }

    /// Records a job.
    pub async fn submit(&self, target: JobRef<'_>, spec: JobSpec) -> Answer {
        let started = Instant::now();
        let queue = &target.route.policy.queue;
        let answer = if self.state(queue, target.job).is_some() {
            Answer::Accepted
        } else if !self.accepts_submissions() || self.is_taken(target) {
            Answer::Refused
        } else {
            let record = Record::new(Body::Submitted {
                job: target.job,
                spec,
                policy: target.route.policy.clone(),
                at_ms: clock::wall_millis(),
            });
            match self.appender.record(&[record], APPEND_TIMEOUT).await {
                Ok(_) => Answer::Accepted,
                Err(AppenderError::Refused(_)) => Answer::Refused,
                Err(AppenderError::Unknown(_)) => Answer::Unknown,
            }
        };
        let event = match answer {
            Answer::Accepted => Event::JobAccepted,
            Answer::Refused => Event::JobRefused,
            _ => Event::JobUnknown,
        };
        self.context.metrics.count(event);
        self.record_answer("submit", target, answer, started);
        answer
    }

    /// Returns whether a job of another queue has the id. Jobs are stored, and their tasks named, by the id alone.
    fn is_taken(&self, target: JobRef<'_>) -> bool {
        let queue = target.route.policy.queue.as_str();
        let view = self.view();
        let Some(holder) = view
            .job_table
            .queue(target.job)
            .filter(|known| *known != queue)
        else {
            return false;
        };
        log::warn!(
            event = "job_id_taken", job:% = target.job, queue = queue, holder = holder;
            "a job of another queue has the id; its caller has to choose another one"
        );
        true
    }

    /// Returns the state of a job.
    pub async fn job_state(&self, target: JobRef<'_>) -> Answer {
        let started = Instant::now();
        let queue = &target.route.policy.queue;
        let mut state = self.state(queue, target.job);
        let mut caught_up = true;
        if state.is_none() {
            caught_up = self.catch_up(CATCH_UP_TIMEOUT).await;
            state = self.state(queue, target.job);
        }
        let answer = match state {
            Some(state) => Answer::State(state),
            None if caught_up => Answer::NoJob,
            None => Answer::Refused,
        };
        self.record_answer("state", target, answer, started);
        answer
    }

    /// Cancels a job. The cancellation of an unknown job is recorded as well: its submission may still be on
    /// its way to the log, from another entry or after an append that got no answer.
    pub async fn cancel(&self, target: JobRef<'_>) -> Answer {
        let started = Instant::now();
        let answer = self.cancel_or_refuse(target).await;
        self.record_answer("cancel", target, answer, started);
        answer
    }

    async fn cancel_or_refuse(&self, target: JobRef<'_>) -> Answer {
        let queue = &target.route.policy.queue;
        if self.state(queue, target.job).is_none() && !self.catch_up(CATCH_UP_TIMEOUT).await {
            return Answer::Refused;
        }
        match self.state(queue, target.job) {
            Some(state) if state.is_final() => Answer::Cancelled,
            Some(_) => self.record_cancel(target).await,
            None => self.cancel_unknown(target).await,
        }
    }

    async fn cancel_unknown(&self, target: JobRef<'_>) -> Answer {
        let queue = &target.route.policy.queue;
        let (is_settled, kept) = {
            let table = &self.view().job_table;
            let is_of_other_queue = table.state(target.job).is_some();
            let is_cancelled = table.is_cancelled_early(target.job, queue);
            (is_of_other_queue || is_cancelled, table.early_cancels())
        };
        if is_settled {
            return Answer::NoJob;
        }
        if kept >= MAX_EARLY_CANCELS {
            log::warn!(
                event = "cancel_refused", job:% = target.job, kept = kept;
                "too many cancellations of unknown jobs are kept"
            );
            return Answer::Refused;
        }
        match self.record_cancel(target).await {
            Answer::Cancelled if self.state(queue, target.job).is_none() => Answer::NoJob,
            answer => answer,
        }
    }

    /// Returns the number of jobs of a queue of which no task has started. Refuses until the main
    /// stream has been loaded.
    pub fn pending(&self, route: &Route) -> Answer {
        if !self.has_loaded() {
            return Answer::Refused;
        }
        Answer::Pending(self.view().job_table.pending(&route.policy.queue))
    }

    async fn record_cancel(&self, target: JobRef<'_>) -> Answer {
        if !self.is_following() {
            return Answer::Refused;
        }
        let record = Record::new(Body::Cancelled {
            job: target.job,
            queue: target.route.policy.queue.clone(),
            at_ms: clock::wall_millis(),
        });
        match self.appender.record(&[record], APPEND_TIMEOUT).await {
            Ok(_) => {
                self.context.metrics.count(Event::JobCancelled);
                Answer::Cancelled
            }
            Err(AppenderError::Refused(_)) => Answer::Refused,
            Err(AppenderError::Unknown(_)) => Answer::Unknown,
        }
    }

    fn record_answer(&self, call: &str, target: JobRef<'_>, answer: Answer, started: Instant) {
        let took = started.elapsed();
        self.context
            .metrics
            .answer_seconds
            .observe(took.as_secs_f64());
        let state = match answer {
            Answer::State(state) => state.to_string(),
            _ => answer.to_string(),
        };
        log::info!(
            event = "answered", call = call, job:% = target.job,
            queue = target.route.policy.queue.as_str(), config = self.routes().version,
            offset = *self.folded.borrow(), outcome:% = state, took_ms = crate::clock::millis(took); ""
        );
    }
}
