//! Handles the loss of an incarnation.

use std::sync::Arc;

use super::clear::clear_worker;
use crate::state::{Bindings, Core};

/// Stops every run of a lost incarnation, and starts a new one once the worker has no tasks left.
pub(crate) fn mark_incarnation_lost(core: &Arc<Core>, bindings: &Arc<Bindings>) {
    let mut runs = bindings.runs.lock();
    if bindings.lost.is_cancelled() {
        return;
    }
    runs.table.mark_lost();
    bindings.lost.cancel();
    drop(runs);
    log::warn!(event = "incarnation_lost", incarnation:% = bindings.incarnation; "");
    let (core, bindings) = (Arc::clone(core), Arc::clone(bindings));
    let tracker = core.tasks.clone();
    tracker.spawn(async move {
        bindings.holders.close();
        bindings.holders.wait().await;
        clear_worker(&core).await;
        let fresh = core.start_incarnation();
        log::info!(event = "incarnation_started", incarnation:% = fresh.incarnation; "");
    });
}
