//! Counters and latency histograms of a process.

mod backlog;
mod intake;
mod read_bytes;

pub use backlog::BacklogMetrics;
pub use intake::IntakeMetrics;
pub use read_bytes::{ReadBytes, StreamKind};

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the latency buckets in seconds, from a local call to an outage of the log.
const BUCKETS: [f64; 9] = [0.005, 0.01, 0.02, 0.05, 0.1, 0.25, 0.5, 1.0, 3.0];

/// An event that is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, strum::EnumIter, EncodeLabelValue)]
pub enum Event {
    /// A caller's job was recorded.
    JobAccepted,
    /// A submission was refused; the job is known not to be recorded.
    JobRefused,
    /// A submission ended with an unknown result.
    JobUnknown,
    /// A job was cancelled.
    JobCancelled,
    /// A request named an unknown queue or job.
    NotFound,
    /// A task was bound to a worker.
    TaskBound,
    /// A task was bound to a worker that is in quarantine or on probation.
    WorkerProbed,
    /// A worker started a run.
    TaskStarted,
    /// A start that got no answer was sent again.
    StartResent,
    /// A worker rejected a start.
    StartRejected,
    /// A start or stop got no answer.
    OrderUnanswered,
    /// An order was not executed for a second.
    OrderOverdue,
    /// An order for an earlier term was settled by the agent.
    OrderAbandoned,
    /// A serving task was stopped to be moved out of a withdrawn zone.
    TaskMoved,
    /// An order was returned because the worker's zone is withdrawn.
    ZoneRefused,
    /// The next run of a long-running task was delayed because its last ones were short.
    RestartDelayed,
    /// A run has a checkpoint that is too long to be recorded.
    CheckpointDropped,
    /// The end of a run was recorded.
    EndRecorded,
    /// The pace of a best-effort task was changed.
    PaceChanged,
    /// A worker came under suspicion.
    WorkerSuspected,
    /// A message about a worker was not believed.
    MessageRejected,
    /// A lease lapsed.
    LeaseLapsed,
    /// A worker crashed: it restarted or was replaced without having announced that it leaves.
    WorkerCrashed,
    /// A run was lost with its worker.
    RunLost,
    /// A crash made a task a suspect.
    CrashSuspected,
    /// A crash was attributed to a task, whose job is given up.
    CrashAttributed,
    /// This entry became the leader.
    LeaderTaken,
    /// This entry gave up a claim because it was told to stop.
    ClaimResigned,
    /// This entry lost the leadership to another.
    LeaderLost,
    /// A record of another writer was stepped over.
    RecordSkipped,
    /// A call to the log failed.
    StoreFailed,
    /// A call was made at the log for another process.
    RelayServed,
    /// A call for another process was refused.
    RelayRefused,
    /// A peer served a call of this process.
    RelayUsed,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct EventLabel {
    event: Event,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ZoneLabel {
    zone: String,
}

impl ZoneLabel {
    fn new(zone: &str) -> Self {
        Self {
            zone: zone.to_owned(),
        }
    }
}

/// The metrics of a process.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    events: Family<EventLabel, Counter>,
    zone_withdrawn: Family<ZoneLabel, Gauge>,
    zone_runs: Family<ZoneLabel, Gauge>,
    waiting_tasks: Gauge,
    waiting_jobs: Gauge,
    unstarted_runs: Gauge,
    read_bytes: ReadBytes,
    page_bytes: Gauge,
    /// Time until a caller was answered, in seconds.
    pub answer_seconds: Histogram,
    /// Time until an append was answered, in seconds.
    pub append_seconds: Histogram,
    /// Time until a worker answered a start, in seconds.
    pub start_seconds: Histogram,
    /// Time from a start without an answer until it was known what became of it, in seconds.
    pub start_settled_seconds: Histogram,
    /// Metrics of the backlog.
    pub backlog: BacklogMetrics,
    /// Metrics of what clients hold.
    pub intake: IntakeMetrics,
}

impl Default for Metrics {
    fn default() -> Self {
        let histogram = || Histogram::new(BUCKETS);
        let mut metrics = Self {
            registry: Registry::with_prefix("agatenotch"),
            events: Family::default(),
            zone_withdrawn: Family::default(),
            zone_runs: Family::default(),
            waiting_tasks: Gauge::default(),
            waiting_jobs: Gauge::default(),
            unstarted_runs: Gauge::default(),
            read_bytes: ReadBytes::default(),
            page_bytes: Gauge::default(),
            answer_seconds: histogram(),
            append_seconds: histogram(),
            start_seconds: histogram(),
            start_settled_seconds: histogram(),
            backlog: BacklogMetrics::default(),
            intake: IntakeMetrics::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    /// Counts an event.
    pub fn count(&self, event: Event) {
        self.count_many(event, 1);
    }

    /// Counts `times` occurrences of an event.
    pub fn count_many(&self, event: Event, times: u64) {
        self.events
            .get_or_create(&EventLabel { event })
            .inc_by(times);
    }

    /// Returns how often an event was counted.
    pub fn event_count(&self, event: Event) -> u64 {
        self.events.get_or_create(&EventLabel { event }).get()
    }

    /// Sets whether a zone is withdrawn.
    pub fn set_zone_withdrawn(&self, zone: &str, withdrawn: bool) {
        let gauge = self.zone_withdrawn.get_or_create(&ZoneLabel::new(zone));
        gauge.set(i64::from(withdrawn));
    }

    /// Sets the number of runs that are left in a withdrawn zone.
    pub fn set_zone_runs(&self, zone: &str, runs: usize) {
        let gauge = self.zone_runs.get_or_create(&ZoneLabel::new(zone));
        gauge.set(i64::try_from(runs).unwrap_or(i64::MAX));
    }

    /// Removes the gauge of the runs of a zone.
    pub fn remove_zone_runs(&self, zone: &str) {
        self.zone_runs.remove(&ZoneLabel::new(zone));
    }

    /// Removes the gauges of the runs of all zones.
    pub fn clear_zone_runs(&self) {
        self.zone_runs.clear();
    }

    /// Sets the number of long-running tasks that find no worker.
    pub fn set_waiting_tasks(&self, tasks: usize) {
        let tasks = i64::try_from(tasks).unwrap_or(i64::MAX);
        self.waiting_tasks.set(tasks);
    }

    /// Sets the number of jobs with a short task that is ready, while no bound task has started.
    pub fn set_waiting_jobs(&self, jobs: usize) {
        let jobs = i64::try_from(jobs).unwrap_or(i64::MAX);
        self.waiting_jobs.set(jobs);
    }

    /// Sets the number of runs that are bound and that their agents have not started.
    pub fn set_unstarted_runs(&self, runs: usize) {
        let runs = i64::try_from(runs).unwrap_or(i64::MAX);
        self.unstarted_runs.set(runs);
    }

    /// Counts bytes that were read from a stream of the log.
    pub fn count_read(&self, stream: StreamKind, bytes: usize) {
        self.read_bytes.count(stream, bytes);
    }

    /// Returns the number of bytes that were read from streams of a kind.
    pub fn read_bytes(&self, stream: StreamKind) -> u64 {
        self.read_bytes.total(stream)
    }

    /// Sets the size of the pages that are requested from the log.
    pub fn set_page_bytes(&self, bytes: usize) {
        let bytes = i64::try_from(bytes).unwrap_or(i64::MAX);
        self.page_bytes.set(bytes);
    }

    /// Returns the registry, from which the metrics are exported as text.
    pub const fn registry(&self) -> &Registry {
        &self.registry
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        self.backlog.register(registry);
        self.intake.register(registry);
        self.read_bytes.register(registry);
        registry.register("events", "Events by kind", self.events.clone());
        registry.register(
            "zone_withdrawn",
            "Whether a zone is withdrawn",
            self.zone_withdrawn.clone(),
        );
        registry.register(
            "zone_runs",
            "Runs left in a withdrawn zone",
            self.zone_runs.clone(),
        );
        registry.register(
            "waiting_tasks",
            "Long-running tasks that find no worker; set by the leader",
            self.waiting_tasks.clone(),
        );
        registry.register(
            "waiting_jobs",
            "Jobs with a short task that is ready and none that is bound and may have started; set by the leader",
            self.waiting_jobs.clone(),
        );
        registry.register(
            "unstarted_runs",
            "Runs that are bound and that their agents have not started; set by the leader",
            self.unstarted_runs.clone(),
        );
        registry.register(
            "log_page_bytes",
            "Size of the pages that are requested from the log",
            self.page_bytes.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time until a caller was answered",
            self.answer_seconds.clone(),
        );
        registry.register(
            "append_seconds",
            "Time until an append was answered",
            self.append_seconds.clone(),
        );
        registry.register(
            "start_seconds",
            "Time until a worker answered a start",
            self.start_seconds.clone(),
        );
        registry.register(
            "start_settled_seconds",
            "Time from a start without an answer until it was known what became of it",
            self.start_settled_seconds.clone(),
        );
    }
}
