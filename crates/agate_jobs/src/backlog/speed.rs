//! Minimum speed of best-effort tasks.

use crate::backlog::Standing;

/// Share of its speed below which a best-effort task waits for a better worker.
pub(crate) const MIN_SPEED: f64 = 0.7;

/// The same for a task of a selected job while the backlog exceeds the capacity. A slow run ends
/// sooner than one that waits for a better worker behind a backlog.
const MIN_BACKLOG_SPEED: f64 = 0.4;

/// Returns the share of its speed below which a task of a job waits, given whether jobs had to be
/// left out of the selection.
pub fn min_speed(standing: Standing, exceeded: bool) -> f64 {
    match standing {
        Standing::Overdue | Standing::Selected if exceeded => MIN_BACKLOG_SPEED,
        _ => MIN_SPEED,
    }
}
