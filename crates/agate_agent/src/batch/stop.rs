//! Steps against runs.

use agate_bind::{RunStep, RunStopOutcome};
use agate_wire::message::{RunActionReply, RunActionRequest};

use super::status;
use crate::state::{Bound, Core};

/// Takes a step against a run.
pub(crate) fn stop(core: &Core, request: &RunActionRequest) -> RunActionReply {
    let Some(bound) = core.bound_to(request.incarnation) else {
        return RunActionReply::Gone;
    };
    let stopped = bound
        .runs
        .lock()
        .table
        .stop(request.run, status::step(request.kind));
    match stopped {
        RunStopOutcome::Active(_) => {
            log::info!(event = "run_step", run:% = request.run, step:% = request.kind; "");
            bound.runs.changed.notify_waiters();
            RunActionReply::Accepted
        }
        RunStopOutcome::NotStarted => RunActionReply::NotStarted,
        RunStopOutcome::Ended => RunActionReply::Ended,
    }
}

/// Evicts every run.
pub(crate) fn evict_all(bound: &Bound) {
    {
        let mut runs = bound.runs.lock();
        for run in runs.table.active() {
            runs.table.stop(run, RunStep::Evict);
        }
    }
    bound.runs.changed.notify_waiters();
}
