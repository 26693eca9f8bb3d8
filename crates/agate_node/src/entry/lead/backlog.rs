//! Summary of the backlog for operators.

use agate_jobs::backlog::Summary;

use crate::metrics::Metrics;

/// Updates the metrics of the backlog and logs the changes that a plan reports.
pub(super) fn report(metrics: &Metrics, summary: &Summary) {
    metrics.backlog.set(summary);
    for change in &summary.changes {
        log::info!(
            event = "job_ranked", job:% = change.job, queue = change.queue.as_str(),
            standing:% = change.standing, left_ms = change.left_ms.round(),
            until_objective_ms = change.until_objective_ms, unlogged = summary.more_changes; ""
        );
    }
}
