//! Tasks that use processor time and get no further.

use std::time::Duration;

use agate_jobs::OrderKind;

use super::client::ListedRun;

/// Shortest time without progress after which a task counts as stalled. Far longer than the pause
/// after a start from a checkpoint (0.25 s).
const MIN_STALL_TIME: Duration = Duration::from_millis(1_200);

/// Part of its estimated run time after which a task must have made a percent of progress: a task
/// that is ten times slower than estimated isn't stalled.
const ESTIMATE_DIVISOR: u32 = 10;

/// Part of its demand that a task must use to count as working; one that is paced down uses less.
const WORKING_DIVISOR: u64 = 5;

/// Progress of a run as its worker lists it.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Progress {
    percent: u32,
    /// Boot clock since when it has not changed while the run worked.
    since: Option<Duration>,
}

impl Progress {
    /// Takes a row of the list read at `now`; returns whether the run is stalled.
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

/// Time without progress after which a run is stalled; `None` if it doesn't work at all, or lasts.
fn limit(kind: &OrderKind, row: &ListedRun) -> Option<Duration> {
    let OrderKind::Start {
        demand,
        estimate_ms,
        ..
    } = kind
    else {
        return None;
    };
    let works = row.gauge * WORKING_DIVISOR >= u64::from(demand.millicores) && row.gauge > 0;
    if !works || *estimate_ms == 0 || row.percent >= 100 {
        return None;
    }
    Some(MIN_STALL_TIME.max(Duration::from_millis(*estimate_ms) / ESTIMATE_DIVISOR))
}
