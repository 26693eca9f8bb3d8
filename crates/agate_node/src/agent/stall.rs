//! Detects tasks that use processor time without making progress.

use std::time::Duration;

use agate_jobs::OrderKind;

use super::client::ListedRun;

/// Minimum time without progress after which a task counts as stalled. Much longer than the pause
/// after a start from a checkpoint (0.25 s).
const MIN_STALL_TIME: Duration = Duration::from_millis(1_200);

/// Divisor of the estimated run time. The time without progress must also exceed the quotient, so
/// that a task that is ten times slower than estimated does not count as stalled.
const ESTIMATE_DIVISOR: u32 = 10;

/// Divisor of the demand. A task that uses at least the quotient counts as working; one that is
/// paced down uses less than its demand.
const WORKING_DIVISOR: u64 = 5;

/// Progress of a run as listed by its worker.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    percent: u32,
    /// Boot time since which it has not changed while the run worked.
    since: Option<Duration>,
}

impl Progress {
    /// Evaluates a list entry read at `now`. Returns whether the run is stalled.
    pub fn update(&mut self, kind: &OrderKind, row: &ListedRun, now: Duration) -> bool {
        let Some(limit) = limit(kind, row) else {
            self.since = None;
            return false;
        };
        if self.percent != row.percent {
            self.percent = row.percent;
            self.since = None;
        }
        let since = *self.since.get_or_insert(now);
        now.saturating_sub(since) >= limit
    }
}

/// Returns the time without progress after which a run is stalled; `None` if the run isn't working,
/// has no estimate or is complete.
fn limit(kind: &OrderKind, row: &ListedRun) -> Option<Duration> {
    let OrderKind::Start {
        demand,
        estimate_ms,
        ..
    } = kind
    else {
        return None;
    };
    let works =
        row.gauge.saturating_mul(WORKING_DIVISOR) >= u64::from(demand.millicores) && row.gauge > 0;
    if !works || *estimate_ms == 0 || row.percent >= 100 {
        return None;
    }
    Some(MIN_STALL_TIME.max(Duration::from_millis(*estimate_ms) / ESTIMATE_DIVISOR))
}
