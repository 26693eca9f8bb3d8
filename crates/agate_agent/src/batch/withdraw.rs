//! Applies new configurations to admission and to active runs.

use std::sync::Arc;

use agate_bind::RunStep;
use agate_wire::message::StopMode;

use crate::state::{Bindings, Core};

/// Applies the current configuration and each later one, in a loop.
pub(crate) async fn apply_config_changes(core: Arc<Core>) {
    let mut changes = core.policy.subscribe();
    loop {
        let policy = core.policy.current();
        core.gate.set_policy(policy.preset.admission);
        stop_withdrawn(&core, &core.bindings());
        if changes.changed().await.is_err() {
            return;
        }
    }
}

/// Checkpoints or stops runs whose class or tag was withdrawn after they were bound.
fn stop_withdrawn(core: &Core, bindings: &Bindings) {
    let policy = core.policy.current();
    {
        let mut runs = bindings.runs.lock();
        for run in runs.table.active() {
            let Some(detail) = runs.details.get(&run) else {
                continue;
            };
            let mode = policy.find_stop_mode(&detail.class, &detail.tags, detail.bound_at);
            match mode {
                Some(StopMode::Checkpoint) => runs.table.stop(run, RunStep::Evict),
                Some(StopMode::Stop) => runs.table.stop(run, RunStep::Stop),
                Some(StopMode::Finish) | None => continue,
            };
        }
    }
    bindings.runs.changed.notify_waiters();
}
