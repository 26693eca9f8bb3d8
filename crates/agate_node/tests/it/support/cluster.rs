//! Entries and agents that share a log.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{JobId, Resources};
use agate_jobs::route::{Route, RouteTable};
use agate_jobs::zones::ZoneRecord;
use agate_jobs::{BatchOrder, JobSpec, QueuePolicy, StepSpec};
use agate_node::agent::{AgentContext, WithdrawalSettings, WorkerRegistry};
use agate_node::entry::{self, Answer, Entry, EntryContext, JobRef, ProcessorShare};
use agate_node::metrics::Metrics;
use agate_node::store::{KeyedLog, StoredRecord, Stream};
use agate_node::{Appender, ParseZone, Urgency};
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use super::log::FakeLog;
use super::worker::FakeWorker;

/// Longest lease of the workers.
pub(crate) const MAX_LEASE: Duration = Duration::from_secs(6);

/// Time within which an agent has to stop, less than the grace period of 6 s.
pub(crate) const STOP_LIMIT: Duration = Duration::from_millis(5_700);

/// Time from a withdrawal until nothing may start in the zone.
pub(crate) const WITHDRAWAL_BOUND: Duration = Duration::from_secs(5);

/// Time within which a run continues elsewhere after the loss of its worker.
pub(crate) const MAX_REPLACE_TIME: Duration = Duration::from_secs(9);

/// A path that no queue serves.
pub(crate) const UNKNOWN_PATH: &str = "/unknown/";

/// Timeout of waiting for a condition.
const WAIT_TIMEOUT: Duration = Duration::from_mins(1);

/// A log with one queue, and the processes that use it.
pub(crate) struct Cluster {
    pub log: FakeLog,
    /// Whether entries read requests about zones.
    parse_zone: Option<ParseZone>,
    stop: CancellationToken,
    tasks: TaskTracker,
}

impl Cluster {
    pub(crate) fn new() -> Self {
        let log = FakeLog::default();
        log.put(Stream::Config, "config", b"1");
        Self {
            log,
            parse_zone: None,
            stop: CancellationToken::new(),
            tasks: TaskTracker::new(),
        }
    }

    /// Creates a cluster whose entries read requests about zones.
    pub(crate) fn with_zones() -> Self {
        let mut cluster = Self::new();
        cluster.parse_zone = Some(parse_zone);
        cluster
    }

    /// Starts an entry. The first one becomes the leader.
    pub(crate) async fn entry(&self, name: &str, log: impl Into<Arc<dyn KeyedLog>>) -> Arc<Entry> {
        let entry = self.start_entry(name, log);
        wait_until("the entry is ready", || entry.is_ready()).await;
        entry
    }

    /// Starts an entry without waiting until it is ready.
    pub(crate) fn start_entry(&self, name: &str, log: impl Into<Arc<dyn KeyedLog>>) -> Arc<Entry> {
        let started = entry::build(self.entry_context(name, log), &CancellationToken::new());
        self.run(started, &self.stop)
    }

    /// Starts an entry with a share of a processor, in thousandths.
    pub(crate) async fn entry_with_share(
        &self,
        name: &str,
        log: FakeLog,
        thousandths: u64,
    ) -> Arc<Entry> {
        let mut context = self.entry_context(name, log);
        context.processor_share = Some(ProcessorShare::from_thousandths(thousandths));
        let started = entry::build(context, &CancellationToken::new());
        let entry = self.run(started, &self.stop);
        wait_until("the entry is ready", || entry.is_ready()).await;
        entry
    }

    /// Starts an entry that stops when `stop` is cancelled.
    pub(crate) async fn stoppable_entry(&self, name: &str, stop: &CancellationToken) -> Arc<Entry> {
        let log = self.log.client();
        let started = entry::build(self.entry_context(name, log), stop);
        let entry = self.run(started, stop);
        wait_until("the entry is ready", || entry.is_ready()).await;
        entry
    }

    /// Starts an entry that drains when `resign` is cancelled: it resigns, but goes on reading.
    pub(crate) async fn draining_entry(
        &self,
        name: &str,
        log: FakeLog,
        resign: &CancellationToken,
    ) -> Arc<Entry> {
        let started = entry::build(self.entry_context(name, log), resign);
        let entry = self.run(started, &self.stop);
        wait_until("the entry is ready", || entry.is_ready()).await;
        entry
    }

    fn entry_context(&self, name: &str, log: impl Into<Arc<dyn KeyedLog>>) -> EntryContext {
        EntryContext {
            name: name.to_owned(),
            log: log.into(),
            metrics: Arc::new(Metrics::default()),
            parse_routes,
            parse_zone: self.parse_zone,
            max_lease: MAX_LEASE,
            state_retention: Duration::from_mins(2),
            processor_share: None,
            batch_order: BatchOrder::default(),
        }
    }

    fn run(&self, started: entry::BuiltEntry, stop: &CancellationToken) -> Arc<Entry> {
        self.tasks.spawn(started.supervisor.run(stop.clone()));
        started.entry
    }

    /// Starts an agent.
    pub(crate) fn agent(log: impl Into<Arc<dyn KeyedLog>>) -> WorkerRegistry {
        Self::agent_with(log, None)
    }

    /// Starts an agent that checks starts against withdrawn zones.
    pub(crate) fn zone_agent(log: impl Into<Arc<dyn KeyedLog>>) -> WorkerRegistry {
        let settings = WithdrawalSettings {
            bound: WITHDRAWAL_BOUND,
            key_prefix: "zone/",
            parse_zone,
        };
        Self::agent_with(log, Some(settings))
    }

    fn agent_with(
        log: impl Into<Arc<dyn KeyedLog>>,
        withdrawal: Option<WithdrawalSettings>,
    ) -> WorkerRegistry {
        let log = log.into();
        let metrics = Arc::new(Metrics::default());
        WorkerRegistry::new(AgentContext {
            appender: Appender::start(Arc::clone(&log), Urgency::Background, Arc::clone(&metrics)),
            log,
            metrics,
            dial: FakeWorker::dial,
            max_lease: MAX_LEASE,
            withdrawal,
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

/// Parses a request about a zone, whose key is `zone/` and the name.
fn parse_zone(stored: &StoredRecord) -> Result<Option<ZoneRecord>, String> {
    let Some(zone) = stored.key.strip_prefix("zone/") else {
        return Ok(None);
    };
    if zone.is_empty() {
        return Err("the zone is empty".to_owned());
    }
    Ok(Some(ZoneRecord {
        offset: stored.offset,
        zone: zone.to_owned(),
        withdrawn: !stored.value.is_empty(),
    }))
}

/// Parses a configuration, which is just a version number, padded with spaces. There is one queue, and
/// a second one from version 2 on.
fn parse_routes(stored: &StoredRecord) -> Result<Option<RouteTable>, String> {
    if stored.key != "config" {
        return Ok(None);
    }
    let text = std::str::from_utf8(&stored.value).map_err(|error| error.to_string())?;
    let version: u64 = text
        .trim()
        .parse()
        .map_err(|_error| "not a version".to_owned())?;
    let queues = if version > 1 { 2 } else { 1 };
    Ok(Some(RouteTable {
        version,
        routes: (0..queues).map(queue).collect(),
        body_limit: 1_000,
        head_limit: None,
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

/// Returns a configuration of about the size of 1,400 routes.
pub(crate) fn large_configuration(version: u64) -> Vec<u8> {
    let mut text = version.to_string().into_bytes();
    text.resize(300_000, b' ');
    text
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
    fn count_pending(&self) -> Answer;
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

    fn count_pending(&self) -> Answer {
        self.pending(&queue(0))
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
