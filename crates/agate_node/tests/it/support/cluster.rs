//! Entries and agents that share a log.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{JobId, Resources};
use agate_jobs::route::{Route, RouteTable};
use agate_jobs::{BatchOrder, JobSpec, QueuePolicy, StepSpec};
use agate_node::agent::{AgentContext, WorkerRegistry};
use agate_node::entry::{self, Answer, Entry, EntryContext, JobRef};
use agate_node::metrics::Metrics;
use agate_node::store::{StoredRecord, Stream};
use agate_node::{Appender, Urgency};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::log::FakeLog;
use super::worker::FakeWorker;

/// Longest lease of the workers.
pub(crate) const MAX_LEASE: Duration = Duration::from_secs(6);

/// Time within which a run continues elsewhere after the loss of its worker.
pub(crate) const MAX_REPLACE_TIME: Duration = Duration::from_secs(9);

/// Timeout of waiting for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// A log with one queue, and the processes that use it.
pub(crate) struct Cluster {
    pub log: FakeLog,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Cluster {
    pub(crate) fn new() -> Self {
        let log = FakeLog::default();
        log.put(Stream::Config, "config", b"1");
        Self {
            log,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Starts an entry. The first one becomes the leader.
    pub(crate) async fn entry(&self, name: &str, log: FakeLog) -> Arc<Entry> {
        let resign = CancellationToken::new();
        let started = entry::build(entry_context(name, log), &resign);
        let entry = self.run(started, &self.stop);
        wait_until("the entry is ready", || entry.is_ready()).await;
        entry
    }

    /// Starts an entry that stops when `stop` is cancelled.
    pub(crate) async fn stoppable_entry(&self, name: &str, stop: &CancellationToken) -> Arc<Entry> {
        let log = self.log.client();
        let started = entry::build(entry_context(name, log), stop);
        let entry = self.run(started, stop);
        wait_until("the entry is ready", || entry.is_ready()).await;
        entry
    }

    fn run(&self, started: entry::BuiltEntry, stop: &CancellationToken) -> Arc<Entry> {
        self.tasks.spawn(started.supervisor.run(stop.clone()));
        started.entry
    }

    /// Starts an agent.
    pub(crate) fn agent(log: FakeLog) -> WorkerRegistry {
        let log = Arc::new(log);
        let metrics = Arc::new(Metrics::default());
        WorkerRegistry::new(AgentContext {
            appender: Appender::start(
                Arc::clone(&log) as _,
                Urgency::Background,
                Arc::clone(&metrics),
            ),
            log,
            metrics,
            dial: FakeWorker::dial,
            max_lease: MAX_LEASE,
            failed: CancellationToken::new(),
        })
    }

    /// Starts a worker with its own agent.
    pub(crate) fn worker(&self, name: &str) -> (FakeWorker, WorkerRegistry) {
        let worker = FakeWorker::open(name);
        let agent = Self::agent(self.log.client());
        agent.apply_heartbeat(FakeWorker::heartbeat(name, name, 1));
        (worker, agent)
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        self.stop.cancel();
    }
}

fn entry_context(name: &str, log: FakeLog) -> EntryContext {
    EntryContext {
        name: name.to_owned(),
        log: Arc::new(log),
        metrics: Arc::new(Metrics::default()),
        parse_routes,
        max_lease: MAX_LEASE,
        state_retention: Duration::from_mins(2),
        batch_order: BatchOrder::default(),
    }
}

/// Parses a configuration, which is just a version number. There is one queue, and a second one
/// from version 2 on.
fn parse_routes(stored: &StoredRecord) -> Result<Option<RouteTable>, String> {
    let text = std::str::from_utf8(&stored.value).map_err(|error| error.to_string())?;
    let version: u64 = text.parse().map_err(|_error| "not a version".to_owned())?;
    let queues = if version > 1 { 2 } else { 1 };
    Ok(Some(RouteTable {
        version,
        routes: (0..queues).map(queue).collect(),
        body_limit: 1_000,
    }))
}

fn queue(number: u64) -> Route {
    Route {
        host: "host.example".to_owned(),
        prefix: format!("/q{number}/"),
        policy: QueuePolicy {
            queue: format!("q{number}"),
            service: "seatbook".to_owned(),
            priority: 0,
            max_attempts: 2,
            stretch_milli: 1_500,
            slack_ms: 400,
        },
    }
}

/// Returns a job of one task that takes a second.
pub(crate) fn one_task_job() -> JobSpec {
    JobSpec {
        payload: "payload".to_owned(),
        steps: vec![StepSpec {
            tasks: 1,
            demand: Resources::new(1_000, 100, 0),
            estimate_ms: 1_000,
            ..StepSpec::default()
        }],
        repeat: None,
    }
}

pub(crate) const fn job_id(job: u64) -> JobId {
    JobId(job)
}

/// Waits until a condition holds.
pub(crate) async fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let wait = async {
        while !holds() {
            sleep(Duration::from_millis(10)).await;
        }
    };
    assert!(
        timeout(WAIT_TIMEOUT, wait).await.is_ok(),
        "timed out waiting until {what}"
    );
}

/// Requests of a caller.
pub(crate) trait Caller {
    async fn submit_job(&self, job: u64, spec: JobSpec) -> Answer;
    async fn query_state(&self, job: u64) -> Answer;
    async fn cancel_job(&self, job: u64) -> Answer;
    async fn wait_for_answer(&self, job: u64, expected: Answer);
}

impl Caller for Entry {
    async fn submit_job(&self, job: u64, spec: JobSpec) -> Answer {
        let route = queue(0);
        let at = JobRef {
            route: &route,
            job: job_id(job),
        };
        self.submit(at, spec).await
    }

    async fn query_state(&self, job: u64) -> Answer {
        let route = queue(0);
        let at = JobRef {
            route: &route,
            job: job_id(job),
        };
        self.job_state(at).await
    }

    async fn cancel_job(&self, job: u64) -> Answer {
        let route = queue(0);
        let at = JobRef {
            route: &route,
            job: job_id(job),
        };
        self.cancel(at).await
    }

    async fn wait_for_answer(&self, job: u64, expected: Answer) {
        let wait = async {
            while self.query_state(job).await != expected {
                sleep(Duration::from_millis(50)).await;
            }
        };
        let came = timeout(WAIT_TIMEOUT, wait).await;
        assert!(came.is_ok(), "job {job} never reached {expected:?}");
    }
}
