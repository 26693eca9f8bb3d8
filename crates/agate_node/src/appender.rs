//! Grouped appends of records that any process may write.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agate_jobs::Record;
use displaydoc::Display;
use futures::stream::{FuturesUnordered, StreamExt as _};
use rand::Rng as _;
use tokio::sync::{mpsc, oneshot};
use tokio::time::{Instant, sleep};

use crate::metrics::Metrics;
use crate::store::{AppendError, KeyedLog, Stream};
use crate::watch::Watch;

/// Time in which a writer that can wait gathers records: ends of a run and the report that they
/// hasten go into one append.
const GATHER_TIME: Duration = Duration::from_millis(5);

/// Records in one append at most; keeps a call well below the log's limit on its size.
const GROUP: usize = 200;

/// Time for which records whose fate is unknown are repeated beyond their deadline: the log may
/// have them, so that the caller could only be told that the outcome is unknown. Shorter than an
/// append that gets no answer, so that a silent log is not asked twice while a caller waits.
const SETTLE_TIME: Duration = Duration::from_millis(600);

/// Pause before an append is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// Time for an append above which the log counts as slow.
const SLOW: Duration = Duration::from_millis(80);

/// Pause of a writer that can wait after the first append that failed or was slow; doubled with
/// each further one. The log turns appends away once two seconds' worth of them are waiting.
const FIRST_YIELD: Duration = Duration::from_millis(250);

/// Longest pause of a writer that can wait.
const LONGEST_YIELD: Duration = Duration::from_secs(3);

/// Whether a writer makes room for others while the log is slow. The log takes the appends to a
/// lane one by one, so that those of many agents would hold up callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// Callers wait for it.
    Interactive,
    /// It can wait.
    Background,
}

impl Urgency {
    /// Appends under way at the same time. One that gets no answer must not hold up the next
    /// caller.
    const fn calls(self) -> usize {
        match self {
            Self::Interactive => 4,
            Self::Background => 1,
        }
    }

    /// Pause after an append, the last of `strained` in a row that failed or were slow.
    fn pause(self, strained: u32, failed: bool) -> Duration {
        match self {
            Self::Interactive if failed => RETRY_PAUSE,
            Self::Interactive => Duration::ZERO,
            Self::Background => back_off(strained),
        }
    }
}

/// Why records are not known to be on record.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum RecordError {
    /// nothing was recorded: {0}
    Refused(String),
    /// it is not known whether the records are on record: {0}
    Unknown(String),
}

impl std::error::Error for RecordError {}

struct Job {
    records: Vec<(String, Vec<u8>)>,
    until: Instant,
    uncertain: bool,
    reply: oneshot::Sender<Result<u64, RecordError>>,
}

/// Appends records to the main lane, several callers' records in one call.
///
/// Records are repeated until their deadline; a record that stands in the log twice counts once.
#[derive(Debug, Clone)]
pub struct Appender(mpsc::Sender<Job>);

impl Appender {
    /// Starts the task that appends; it ends when every handle is gone.
    pub fn start(log: Arc<dyn KeyedLog>, urgency: Urgency, metrics: Arc<Metrics>) -> Self {
        let (sender, receiver) = mpsc::channel(1_024);
        tokio::spawn(run(log, urgency, metrics, receiver));
        Self(sender)
    }

    /// Records `records`, all or none, and returns the offset after the last.
    ///
    /// # Errors
    ///
    /// Returns [`NotRecorded`] if the records are not known to be on record after `patience`.
    pub async fn record(&self, records: &[Record], patience: Duration) -> Result<u64, RecordError> {
        let mut encoded = Vec::with_capacity(records.len());
        for record in records {
            let value = record
                .value()
                .map_err(|error| RecordError::Refused(error.to_string()))?;
            encoded.push((record.key.clone(), value));
        }
        let (reply, answer) = oneshot::channel();
        let job = Job {
            records: encoded,
            until: Instant::now() + patience,
            uncertain: false,
            reply,
        };
        if self.0.send(job).await.is_err() {
            return Err(RecordError::Refused("the process is ending".to_owned()));
        }
        let ended = || RecordError::Unknown("the process is ending".to_owned());
        answer.await.map_err(|_closed| ended())?
    }
}

async fn run(
    log: Arc<dyn KeyedLog>,
    urgency: Urgency,
    metrics: Arc<Metrics>,
    mut jobs: mpsc::Receiver<Job>,
) {
    let writer = Writer {
        log,
        urgency,
        metrics,
        watch: Mutex::new(Watch::new(Stream::Main, "append")),
        strained: AtomicU32::new(0),
    };
    let mut waiting: Vec<Job> = Vec::new();
    let mut calls = FuturesUnordered::new();
    loop {
        while waiting.len() < GROUP
            && let Ok(job) = jobs.try_recv()
        {
            waiting.push(job);
        }
        if !waiting.is_empty() && calls.len() < urgency.calls() {
            calls.push(writer.append(std::mem::take(&mut waiting)));
        }
        let free = calls.len() < urgency.calls();
        tokio::select! {
            job = jobs.recv(), if free => match job {
                Some(job) => {
                    waiting.push(job);
                    gather(urgency).await;
                }
                None => break,
            },
            Some(again) = calls.next() => waiting.extend(again),
        }
    }
    while let Some(again) = calls.next().await {
        for job in again {
            answer(
                job.reply,
                Err(RecordError::Unknown("the process is ending".to_owned())),
            );
        }
    }
}

/// Exponential delay with jitter, so that many writers don't come back together.
fn back_off(strained: u32) -> Duration {
    let Some(doublings) = strained.checked_sub(1) else {
        return Duration::ZERO;
    };
    let longest = FIRST_YIELD * 2_u32.saturating_pow(doublings.min(8));
    longest
        .min(LONGEST_YIELD)
        .mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Leaves time for more records if the writer can wait.
async fn gather(urgency: Urgency) {
    match urgency {
        Urgency::Interactive => {}
        Urgency::Background => sleep(GATHER_TIME).await,
    }
}

struct Writer {
    log: Arc<dyn KeyedLog>,
    urgency: Urgency,
    metrics: Arc<Metrics>,
    watch: Mutex<Watch>,
    /// Appends in a row that failed or were slow.
    strained: AtomicU32,
}

impl Writer {
    /// Counts appends in a row that failed or were slow.
    fn strained(&self, more: bool) -> u32 {
        if more {
            self.strained.fetch_add(1, Ordering::Relaxed) + 1
        } else {
            self.strained.store(0, Ordering::Relaxed);
            0
        }
    }

    /// Appends once, answers what is settled and returns, after a pause, what is to be tried again.
    async fn append(&self, jobs: Vec<Job>) -> Vec<Job> {
        let records: Vec<_> = jobs.iter().flat_map(|job| job.records.clone()).collect();
        let start = Instant::now();
        let result = self.log.append(Stream::Main, &records, None).await;
        let took = start.elapsed();
        self.metrics.append_seconds.observe(took.as_secs_f64());
        self.watch
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .take(&self.metrics, result.as_ref().err());
        let again = settle(jobs, &result);
        let failed = result.is_err();
        let strained = self.strained(failed || took > SLOW);
        let pause = self.urgency.pause(strained, failed);
        if !pause.is_zero() {
            sleep(pause).await;
        }
        again
    }
}

/// Answers what is settled and returns what is to be tried again.
fn settle(jobs: Vec<Job>, result: &Result<u64, AppendError>) -> Vec<Job> {
    let mut again = Vec::new();
    for mut job in jobs {
        let error = match result {
            Ok(end) => {
                answer(job.reply, Ok(*end));
                continue;
            }
            Err(error) => error,
        };
        if matches!(error, AppendError::Unknown(_)) && !job.uncertain {
            job.uncertain = true;
            job.until += SETTLE_TIME;
        }
        if Instant::now() < job.until {
            again.push(job);
            continue;
        }
        let cause = error.to_string();
        let failure = if job.uncertain {
            RecordError::Unknown(cause)
        } else {
            RecordError::Refused(cause)
        };
        answer(job.reply, Err(failure));
    }
    again
}

fn answer(reply: oneshot::Sender<Result<u64, RecordError>>, result: Result<u64, RecordError>) {
    if reply.send(result).is_err() {
        log::debug!(event = "append_unclaimed"; "the caller has gone away");
    }
}
