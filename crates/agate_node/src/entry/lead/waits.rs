//! Reports tasks that find no worker, runs that are not started, and times in which nothing is placed.

use std::time::Duration;

use agate_core::Moment;
use agate_jobs::plan::{Pause, Scheduler};

use crate::clock;
use crate::entry::Entry;

/// Sets the gauge of waiting long-running tasks, and logs the one that has waited longest.
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

/// Sets the gauge of waiting jobs, and logs the one that has waited longest.
pub(super) fn report_short(entry: &Entry, scheduler: &mut Scheduler, now: Moment, wall_ms: u64) {
    let metrics = &entry.context.metrics;
    metrics.set_waiting_jobs(scheduler.waiting_jobs());
    let view = entry.view();
    let Some(wait) = scheduler.take_short_wait(&view.job_table, now, wall_ms) else {
        return;
    };
    drop(view);
    let standing = wait.standing.map(|standing| standing.to_string());
    log::info!(
        event = "short_task_waits", task:% = wait.task,
        standing = standing.as_deref().unwrap_or("unplanned"),
        waited_ms = clock::millis(wait.waited), waiting = wait.waiting,
        unstarted = wait.unstarted, demand:% = wait.demand, members = wait.members,
        workers = wait.workers, obstacles:% = wait.obstacles,
        unobstructed = wait.unobstructed, busy_percent = wait.load.busy,
        counted_percent = wait.load.counted, memory_percent = wait.load.memory,
        started_percent = wait.load.started;
        "none of its job has started"
    );
}

/// Sets the gauge of the runs that are bound and not started, and logs the one that was bound first.
pub(super) fn report_unstarted(entry: &Entry, scheduler: &mut Scheduler, now: Moment) {
    let Some(unstarted) = scheduler.take_unstarted(now) else {
        return;
    };
    entry.context.metrics.set_unstarted_runs(unstarted.runs);
    let Some(oldest) = unstarted.oldest else {
        return;
    };
    log::warn!(
        event = "runs_not_started", runs = unstarted.runs, task:% = oldest.task, run = oldest.run,
        worker = oldest.worker.as_str(), age_ms = clock::millis(oldest.age);
        "they are bound, and their agents have not started them"
    );
}

/// Logs that nothing has been placed for a while, if any job has a task that is ready.
pub(super) fn report_pause(
    entry: &Entry,
    scheduler: &Scheduler,
    (pause, lasted): (Pause, Duration),
    wall_ms: u64,
) {
    let ready = scheduler.ready_jobs(&entry.view().job_table, wall_ms);
    if ready == 0 {
        return;
    }
    log::warn!(
        event = "placement_paused", reason:% = pause, lasted_ms = clock::millis(lasted),
        ready = ready; "no task is placed"
    );
}
