//! Reports tasks that are suspected of crashing their workers.

use agate_jobs::crash::Attribution;
use agate_jobs::table::Change;
use agate_jobs::{JobTable, RunEnd};

use crate::metrics::{Event, Metrics};

/// Logs and counts what the end of a run by a crash means for its task.
pub(super) fn report(metrics: &Metrics, table: &JobTable, change: &Change) {
    let Change::Ended(end) = change else {
        return;
    };
    let (Some(crash), Some(attribution)) = (&end.crash, attribution(table, end)) else {
        return;
    };
    match attribution {
        Attribution::Unsuspected => return,
        Attribution::Suspected => metrics.count(Event::CrashSuspected),
        Attribution::AtFault => metrics.count(Event::CrashAttributed),
    }
    log::warn!(
        event = "crash_attributed", task:% = end.task, run = end.run, worker = end.worker.as_str(),
        address = crash.address.as_str(), ran_ms = crash.ran_ms, within_ms = crash.within_ms,
        peers = crash.peers, unstable = crash.unstable, attribution:%; ""
    );
}

/// Returns the attribution of the crashes under an ended run's task, or `None` if its job is closed.
fn attribution(table: &JobTable, end: &RunEnd) -> Option<Attribution> {
    let step = table.job(end.task.job)?.step_progress(end.task)?;
    let task = step.tasks.get(end.task.index as usize)?;
    Some(task.crashes.attribution())
}
