//! Handles requests to throttle, release, evict, stop or cancel runs.

use agate_bind::{RunStep, RunStopOutcome};
use agate_wire::message::{RunActionReply, RunActionRequest};

use super::status;
use crate::state::{Bindings, Core};

/// Records the requested step for a run and wakes its supervision.
pub(crate) fn stop(core: &Core, request: &RunActionRequest) -> RunActionReply {
    let Some(bindings) = core.bindings_of(request.incarnation) else {
        return RunActionReply::Gone;
    };
    let stopped = bindings
        .runs
        .lock()
        .table
        .stop(request.run, status::to_run_step(request.kind));
    match stopped {
        RunStopOutcome::Active(_) => {
            log::info!(event = "run_step", run:% = request.run, step:% = request.kind; "");
            bindings.runs.changed.notify_waiters();
            RunActionReply::Accepted
        }
        RunStopOutcome::NotStarted => RunActionReply::NotStarted,
        RunStopOutcome::Ended => RunActionReply::Ended,
    }
}

/// Requests the eviction of every run.
pub(crate) fn evict_all(bindings: &Bindings) {
    {
        let mut runs = bindings.runs.lock();
        for run in runs.table.active() {
            runs.table.stop(run, RunStep::Evict);
        }
    }
    bindings.runs.changed.notify_waiters();
}
