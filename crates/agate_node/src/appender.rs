//! Grouped appends to the main stream, which any process may write.

use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agate_jobs::Record;
use displaydoc::Display;
use futures::stream::{FuturesUnordered, StreamExt as _};
use rand::Rng as _;
use tokio::sync::{Notify, mpsc, oneshot};
use tokio::time::{Instant, sleep, timeout};

use crate::admission::{Admission, AppendResult};
use crate::clock;
use crate::metrics::Metrics;
use crate::outage::OutageMonitor;
use crate::store::{AppendError, KeyedLog, Stream};

/// Time for which a background writer gathers records, so that the end of a run and the early
/// report that follows it share an append.
const GROUPING_DELAY: Duration = Duration::from_millis(5);

/// Most records in one append, well below the log's limit on the size of a call.
const MAX_GROUP_RECORDS: usize = 200;

/// Extension of the deadline of records whose append had an unknown result. The log may hold them,
/// so giving up could only be reported as "unknown". Shorter than the timeout of an append, so that
/// a silent log isn't asked twice while a caller waits.
const UNCERTAIN_EXTENSION: Duration = Duration::from_millis(600);

/// Pause before an append is retried.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Duration above which an append counts as slow.
const SLOW_APPEND: Duration = Duration::from_millis(80);

/// First backoff of a background writer after a failed or slow append, doubled with each further
/// one. The log rejects appends once two seconds' worth of them are queued.
const INITIAL_BACKOFF: Duration = Duration::from_millis(250);

/// Longest backoff of a background writer.
const MAX_BACKOFF: Duration = Duration::from_secs(3);

/// Backoff from which on it is logged: longer than reports may be late.
const LOGGED_BACKOFF: Duration = Duration::from_millis(500);

/// Whether a writer backs off while the log is slow. The log processes the appends to a stream one
/// by one, so the appends of many agents would delay callers.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Urgency {
    /// A caller waits for the result.
    Interactive,
    /// Nobody waits for the result.
    Background,
}

impl Urgency {
    /// Returns how many appends may be in flight. With several, one that gets no answer doesn't
    /// delay the next caller.
    const fn max_in_flight(self) -> usize {
        match self {
            Self::Interactive => 4,
            Self::Background => 1,
        }
    }

    /// Returns the pause after an append that ended a series of `consecutive_slow` failed or slow
    /// ones.
    fn pause(self, consecutive_slow: u32, failed: bool) -> Duration {
        match self {
            Self::Interactive if failed => RETRY_DELAY,
            Self::Interactive => Duration::ZERO,
            Self::Background => backoff_delay(consecutive_slow),
        }
    }
}

/// Why records may not have been recorded.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum AppenderError {
    /// nothing was recorded: {0}
    Refused(String),
    /// unknown whether the records were recorded: {0}
    Unknown(String),
}

impl std::error::Error for AppenderError {}

/// What a request does during a backoff.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Backoff {
    /// It waits for the end.
    Wait,
    /// It ends the backoff.
    End,
}

struct Request {
    records: Vec<(String, Vec<u8>)>,
    deadline: Instant,
    uncertain: bool,
    backoff: Backoff,
    reply: oneshot::Sender<Result<u64, AppenderError>>,
}

/// Appends records to the main stream, grouping those of several callers in one call.
///
/// Records are retried until their deadline. A record that the log holds twice counts once.
#[derive(Debug, Clone)]
pub struct Appender {
    requests: mpsc::Sender<Request>,
    /// Notified of each request that ends a backoff.
    interrupt: Arc<Notify>,
    urgency: Urgency,
    admission: Arc<Mutex<Admission>>,
}

impl Appender {
    /// Starts the task that appends. It ends when every handle is dropped.
    pub fn start(log: Arc<dyn KeyedLog>, urgency: Urgency, metrics: Arc<Metrics>) -> Self {
        let (requests, receiver) = mpsc::channel(1_024);
        let admission = Arc::new(Mutex::default());
        let interrupt = Arc::new(Notify::new());
        let writer = Writer {
            log,
            interrupt: Arc::clone(&interrupt),
            urgency,
            metrics,
            monitor: Mutex::new(OutageMonitor::new(Stream::Main, "append")),
            consecutive_slow: AtomicU32::new(0),
            admission: Arc::clone(&admission),
        };
        tokio::spawn(run(writer, receiver));
        Self {
            requests,
            interrupt,
            urgency,
            admission,
        }
    }

    /// Records all or none of `records` and returns the offset after the last. A caller's records
    /// are refused at once while the log rejects appends slowly.
    ///
    /// # Errors
    ///
    /// Returns [`AppenderError`] if the records are not known to be recorded within `timeout`.
    pub async fn record(
        &self,
        records: &[Record],
        timeout: Duration,
    ) -> Result<u64, AppenderError> {
        if self.urgency == Urgency::Interactive && !self.admits() {
            let cause = "the log rejects appends, and more are not offered for now";
            return Err(AppenderError::Refused(cause.to_owned()));
        }
        self.request(records, timeout, Backoff::Wait).await
    }

    /// Records as [`Self::record`] does, and ends a backoff that is in progress.
    ///
    /// # Errors
    ///
    /// Returns [`AppenderError`] if the records are not known to be recorded within `timeout`.
    pub async fn record_urgently(
        &self,
        records: &[Record],
        timeout: Duration,
    ) -> Result<u64, AppenderError> {
        self.request(records, timeout, Backoff::End).await
    }

    async fn request(
        &self,
        records: &[Record],
        timeout: Duration,
        backoff: Backoff,
    ) -> Result<u64, AppenderError> {
        let (reply, answer) = oneshot::channel();
        let request = Request {
            records: encode(records)?,
            deadline: Instant::now() + timeout,
            uncertain: false,
            backoff,
            reply,
        };
        if self.requests.send(request).await.is_err() {
            return Err(AppenderError::Refused(
                "the process is shutting down".to_owned(),
            ));
        }
        if backoff == Backoff::End {
            self.interrupt.notify_waiters();
        }
        let ended = || AppenderError::Unknown("the process is shutting down".to_owned());
        answer.await.map_err(|_closed| ended())?
    }

    fn admits(&self) -> bool {
        let mut admission = self
            .admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        admission.admits(Instant::now())
    }
}

fn encode(records: &[Record]) -> Result<Vec<(String, Vec<u8>)>, AppenderError> {
    let encode = |record: &Record| {
        let value = record.value();
        let value = value.map_err(|error| AppenderError::Refused(error.to_string()))?;
        Ok((record.key.clone(), value))
    };
    records.iter().map(encode).collect()
}

async fn run(writer: Writer, mut requests: mpsc::Receiver<Request>) {
    let urgency = writer.urgency;
    let mut waiting: Vec<Request> = Vec::new();
    let mut in_flight = FuturesUnordered::new();
    loop {
        while waiting.len() < MAX_GROUP_RECORDS
            && let Ok(request) = requests.try_recv()
        {
            waiting.push(request);
        }
        if !waiting.is_empty() && in_flight.len() < urgency.max_in_flight() {
            in_flight.push(writer.append(std::mem::take(&mut waiting)));
        }
        let has_capacity = in_flight.len() < urgency.max_in_flight();
        tokio::select! {
            request = requests.recv(), if has_capacity => match request {
                Some(request) => {
                    waiting.push(request);
                    wait_for_more(urgency).await;
                }
                None => break,
            },
            Some(retry) = in_flight.next() => waiting.extend(retry),
        }
    }
    while let Some(retry) = in_flight.next().await {
        for request in retry {
            answer(
                request.reply,
                Err(AppenderError::Unknown(
                    "the process is shutting down".to_owned(),
                )),
            );
        }
    }
}

/// Returns an exponential delay with jitter, so that writers don't retry in step.
fn backoff_delay(consecutive_slow: u32) -> Duration {
    let Some(doublings) = consecutive_slow.checked_sub(1) else {
        return Duration::ZERO;
    };
    let delay = INITIAL_BACKOFF * 2_u32.saturating_pow(doublings.min(8));
    delay
        .min(MAX_BACKOFF)
        .mul_f64(rand::rng().random_range(0.5..1.0))
}

/// Leaves time for more records to arrive if nobody waits for the result.
async fn wait_for_more(urgency: Urgency) {
    match urgency {
        Urgency::Interactive => {}
        Urgency::Background => sleep(GROUPING_DELAY).await,
    }
}

struct Writer {
    log: Arc<dyn KeyedLog>,
    interrupt: Arc<Notify>,
    urgency: Urgency,
    metrics: Arc<Metrics>,
    monitor: Mutex<OutageMonitor>,
    /// Number of consecutive appends that failed or were slow.
    consecutive_slow: AtomicU32,
    admission: Arc<Mutex<Admission>>,
}

impl Writer {
    /// Updates and returns the number of consecutive appends that failed or were slow.
    fn count_slow(&self, is_slow: bool) -> u32 {
        if is_slow {
            self.consecutive_slow.fetch_add(1, Ordering::Relaxed) + 1
        } else {
            self.consecutive_slow.store(0, Ordering::Relaxed);
            0
        }
    }

    fn record_admission(&self, result: &Result<u64, AppendError>, took: Duration) {
        let result = match result {
            Ok(_) => AppendResult::Recorded,
            Err(AppendError::Unknown(_)) => AppendResult::Unknown,
            Err(_) => AppendResult::Rejected(took),
        };
        self.admission
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_result(result, Instant::now());
    }

    /// Appends once, replies to the requests that are settled and returns, after a pause, those to
    /// retry.
    async fn append(&self, requests: Vec<Request>) -> Vec<Request> {
        let records: Vec<_> = requests
            .iter()
            .flat_map(|request| request.records.clone())
            .collect();
        // Created before the append, so that it also sees requests that come meanwhile.
        let interrupted = self.interrupt.notified();
        let start = Instant::now();
        let result = self.log.append(Stream::Main, &records, None).await;
        let took = start.elapsed();
        self.metrics.append_seconds.observe(took.as_secs_f64());
        self.monitor
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_result(&self.metrics, result.as_ref().err());
        self.record_admission(&result, took);
        let retry = resolve(requests, &result);
        let failed = result.is_err();
        let consecutive_slow = self.count_slow(failed || took > SLOW_APPEND);
        let is_urgent = |request: &Request| request.backoff == Backoff::End;
        let pause = if retry.iter().any(is_urgent) {
            INITIAL_BACKOFF
        } else {
            self.urgency.pause(consecutive_slow, failed)
        };
        if pause > LOGGED_BACKOFF {
            log::info!(
                event = "append_backoff", took_ms = clock::millis(took), slow = consecutive_slow,
                pause_ms = clock::millis(pause); "the log is slow"
            );
        }
        if !pause.is_zero() {
            // Whether the pause is over or a request ended it, the next append begins.
            let _ = timeout(pause, interrupted).await;
        }
        retry
    }
}

/// Replies to the requests that are settled and returns those to retry.
fn resolve(requests: Vec<Request>, result: &Result<u64, AppendError>) -> Vec<Request> {
    let mut retry = Vec::new();
    for mut request in requests {
        let error = match result {
            Ok(end) => {
                answer(request.reply, Ok(*end));
                continue;
            }
            Err(error) => error,
        };
        if matches!(error, AppendError::Unknown(_)) && !request.uncertain {
            request.uncertain = true;
            request.deadline += UNCERTAIN_EXTENSION;
        }
        if Instant::now() < request.deadline {
            retry.push(request);
            continue;
        }
        let cause = error.to_string();
        let failure = if request.uncertain {
            AppenderError::Unknown(cause)
        } else {
            AppenderError::Refused(cause)
        };
        answer(request.reply, Err(failure));
    }
    retry
}

fn answer(reply: oneshot::Sender<Result<u64, AppenderError>>, result: Result<u64, AppenderError>) {
    if reply.send(result).is_err() {
        log::debug!(event = "append_unclaimed"; "the caller has gone away");
    }
}
