//! What a new configuration means for the gate and for running work.

use std::sync::Arc;

use agate_bind::RunStep;
use agate_wire::message::StopMode;

use crate::state::{Bound, Core};

/// Applies each new configuration, for as long as the agent runs.
pub(crate) async fn keep_applying(core: Arc<Core>) {
    let mut changes = core.policy.subscribe();
    loop {
        let policy = core.policy.held();
        core.gate.set_policy(policy.preset.admission);
        stop_withdrawn(&core, &core.bound());
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Checkpoints or stops the runs whose class or tag was withdrawn after they were bound.
fn stop_withdrawn(core: &Core, bound: &Bound) {
    let policy = core.policy.held();
    {
        let mut runs = bound.runs.lock();
        for run in runs.table.active() {
            let Some(detail) = runs.details.get(&run) else {
                continue;
            };
            let mode = policy.withdraws_run(&detail.class, &detail.tags, detail.bound);
            match mode {
                Some(StopMode::Checkpoint) => runs.table.stop(run, RunStep::Evict),
                Some(StopMode::Stop) => runs.table.stop(run, RunStep::Stop),
                Some(StopMode::Finish) | None => continue,
            };
        }
    }
    bound.runs.changed.notify_waiters();
}
