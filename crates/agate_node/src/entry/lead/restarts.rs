//! Reports long-running tasks whose next run is delayed.

use agate_jobs::plan::Scheduler;

use crate::clock;
use crate::entry::Entry;
use crate::metrics::Event;

/// Logs and counts the restarts that have been delayed since the last call.
pub(super) fn report(entry: &Entry, scheduler: &mut Scheduler) {
    for delayed in scheduler.take_delayed_restarts() {
        entry.context.metrics.count(Event::RestartDelayed);
        log::warn!(
            event = "restart_delayed", task:% = delayed.task, run = delayed.run,
            ran_ms = delayed.ran_ms, short_runs = delayed.short_runs,
            pause_ms = clock::millis(delayed.pause); "it ends soon after each start"
        );
    }
}
