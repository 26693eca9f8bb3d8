//! Metrics of an entry.

use std::fmt;

use agate_core::ClassName;
use agate_telemetry::metrics::text;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

use crate::entry::Entry;
use crate::urgent::{AttemptOutcome, CallOutcome};

/// Maximum number of classes with their own label, so that arbitrary class names can't exhaust
/// memory.
const MAX_CLASSES: usize = 200;

/// Label of all further classes.
const OTHER: &str = "other";

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct RequestLabels {
    class: String,
    outcome: &'static str,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct AttemptLabels {
    end: &'static str,
}

/// Metrics of an entry.
pub(crate) struct Metrics {
    registry: Registry,
    requests: Family<RequestLabels, Counter>,
    attempts: Family<AttemptLabels, Counter>,
    invalid: Counter,
    open: Gauge,
    members: Gauge,
    peers: Gauge,
    jobs: Gauge,
    log_age: Gauge,
    classes: std::sync::Mutex<std::collections::HashSet<ClassName>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Metrics").finish_non_exhaustive()
    }
}

impl Metrics {
    /// Creates and registers all metrics.
    pub(crate) fn new() -> Self {
        let mut registry = Registry::with_prefix("agate_entry");
        let metrics = Self {
            registry: Registry::default(),
            requests: Family::default(),
            attempts: Family::default(),
            invalid: Counter::default(),
            open: Gauge::default(),
            members: Gauge::default(),
            peers: Gauge::default(),
            jobs: Gauge::default(),
            log_age: Gauge::default(),
            classes: std::sync::Mutex::default(),
        };
        registry.register(
            "requests",
            "Urgent requests by class and outcome",
            metrics.requests.clone(),
        );
        registry.register(
            "attempts",
            "Attempts at agents by their end",
            metrics.attempts.clone(),
        );
        registry.register(
            "invalid",
            "Requests refused for their form",
            metrics.invalid.clone(),
        );
        registry.register("open", "Requests open now", metrics.open.clone());
        registry.register("members", "Agents known", metrics.members.clone());
        registry.register("peers", "Other entries known", metrics.peers.clone());
        registry.register("jobs", "Open jobs", metrics.jobs.clone());
        registry.register(
            "log_age_milliseconds",
            "Age of the state read from the log; -1 if it has not been read",
            metrics.log_age.clone(),
        );
        Self {
            registry,
            ..metrics
        }
    }

    /// Counts a request by class and outcome.
    pub(crate) fn count_request(&self, class: &ClassName, call_outcome: &CallOutcome) {
        let outcome = match call_outcome {
            CallOutcome::Done(_) => "done",
            CallOutcome::NotRun { .. } => "not-run",
            CallOutcome::Unanswered { .. } => "no-answer",
            CallOutcome::Unknown { .. } => "unknown",
        };
        let class = self.label(class);
        let labels = RequestLabels { class, outcome };
        self.requests.get_or_create(&labels).inc();
    }

    /// Counts an attempt by outcome.
    pub(crate) fn count_attempt(&self, attempt: &AttemptOutcome) {
        let end = match attempt {
            AttemptOutcome::Done(_) => "done",
            AttemptOutcome::Refused { .. } => "refused",
            AttemptOutcome::NotSent(_) => "not-sent",
            AttemptOutcome::NoTime => "no-time",
            AttemptOutcome::Failed(_) => "failed",
            AttemptOutcome::Lost(_) => "lost",
            AttemptOutcome::Late => "late",
        };
        self.attempts.get_or_create(&AttemptLabels { end }).inc();
    }

    /// Counts a request with invalid input.
    pub(crate) fn count_invalid(&self) {
        self.invalid.inc();
    }

    /// Returns all metrics in the text format.
    ///
    /// # Errors
    ///
    /// Fails if a metric can't be formatted.
    pub(crate) fn text(&self, entry: &Entry) -> Result<String, fmt::Error> {
        self.open.set(to_gauge(entry.drain.count()));
        self.members
            .set(to_gauge(entry.members.with(|view| view.len())));
        self.peers.set(to_gauge(entry.peers.list().len()));
        self.jobs
            .set(to_gauge(entry.folded.with(|state| state.open_jobs())));
        let age = entry.folded.age();
        let age = age.map_or(-1, |age| i64::try_from(age.as_millis()).unwrap_or(i64::MAX));
        self.log_age.set(age);
        text(&self.registry)
    }

    fn label(&self, class: &ClassName) -> String {
        let mut classes = self
            .classes
            .lock()
            .unwrap_or_else(std::sync::PoisonError::into_inner);
        if classes.contains(class) {
            return class.to_string();
        }
        if classes.len() >= MAX_CLASSES {
            return OTHER.to_owned();
        }
        classes.insert(class.clone());
        class.to_string()
    }
}

fn to_gauge(count: usize) -> i64 {
    i64::try_from(count).unwrap_or(i64::MAX)
}
