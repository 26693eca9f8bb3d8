//! Gauges and histogram of the backlog.

use std::sync::atomic::AtomicU64;

use agate_jobs::backlog::Summary;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Upper bounds of the buckets for the actual less the predicted end, in seconds.
const ERROR_BUCKETS: [f64; 9] = [-10.0, -5.0, -2.0, -1.0, 0.0, 1.0, 2.0, 5.0, 10.0];

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct JobsLabel {
    queue: String,
    standing: String,
}

#[derive(Debug, Clone, PartialEq, Eq, Hash, EncodeLabelSet)]
struct QueueLabel {
    queue: String,
}

/// Metrics of the backlog, set while this entry leads.
#[derive(Debug)]
pub struct BacklogMetrics {
    jobs: Family<JobsLabel, Gauge>,
    work_seconds: Family<QueueLabel, Gauge<f64, AtomicU64>>,
    end_error_seconds: Histogram,
}

impl Default for BacklogMetrics {
    fn default() -> Self {
        Self {
            jobs: Family::default(),
            work_seconds: Family::default(),
            end_error_seconds: Histogram::new(ERROR_BUCKETS),
        }
    }
}

impl BacklogMetrics {
    /// Replaces the gauges by those of a plan.
    pub fn set(&self, summary: &Summary) {
        self.clear();
        for ((queue, standing), count) in &summary.jobs {
            let label = JobsLabel {
                queue: queue.clone(),
                standing: standing.to_string(),
            };
            self.jobs.get_or_create(&label).set(i64::from(*count));
        }
        for (queue, left_ms) in &summary.left_ms {
            let label = QueueLabel {
                queue: queue.clone(),
            };
            let gauge = self.work_seconds.get_or_create(&label);
            gauge.set(left_ms / 1_000.0);
        }
        for error_ms in &summary.end_errors_ms {
            self.end_error_seconds.observe(error_ms / 1_000.0);
        }
    }

    /// Removes the gauges, which another leader sets from now on.
    pub fn clear(&self) {
        self.jobs.clear();
        self.work_seconds.clear();
    }

    pub(super) fn register(&self, registry: &mut Registry) {
        registry.register(
            "backlog_jobs",
            "Open best-effort jobs by queue and class of the plan",
            self.jobs.clone(),
        );
        registry.register(
            "backlog_work_seconds",
            "Expected run time of the work left, by queue",
            self.work_seconds.clone(),
        );
        registry.register(
            "backlog_end_error_seconds",
            "Actual less predicted end of selected jobs",
            self.end_error_seconds.clone(),
        );
    }
}
