//! Reports long-running tasks that find no worker.

use agate_core::Moment;
use agate_jobs::plan::Scheduler;

use crate::clock;
use crate::entry::Entry;

/// Sets the gauge of waiting tasks, and logs the one that has waited longest.
pub(super) fn report(entry: &Entry, scheduler: &mut Scheduler, now: Moment) {
    let metrics = &entry.context.metrics;
    metrics.set_waiting_tasks(scheduler.waiting_tasks());
    let view = entry.view();
    let Some(wait) = scheduler.take_long_wait(&view.job_table, now) else {
        return;
    };
    drop(view);
    log::warn!(
        event = "task_waits", task:% = wait.task, waited_ms = clock::millis(wait.waited),
        waiting = wait.waiting, demand:% = wait.demand, workers = wait.workers,
        allowed = wait.allowed, closest_free:% = wait.closest_free,
        closest_drained:% = wait.closest_drained, total_free:% = wait.total_free,
        closest_stopping:% = wait.closest_stopping,
        reserved_on = wait.reserved_on.as_str(); "no worker has room for it"
    );
}
