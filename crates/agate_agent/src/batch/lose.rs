//! The end of an incarnation that was recorded as lost.

use std::sync::Arc;

use super::clear::until_clear;
use crate::state::{Bound, Core};

/// Stops every run of a lost incarnation, and starts a new incarnation once the worker is clear.
pub(crate) fn lose(core: &Arc<Core>, bound: &Arc<Bound>) {
    let mut runs = bound.runs.lock();
    if bound.lost.is_cancelled() {
        return;
    }
    runs.table.mark_lost();
    bound.lost.cancel();
    drop(runs);
    log::warn!(event = "incarnation_lost", incarnation:% = bound.incarnation; "");
    let (core, bound) = (Arc::clone(core), Arc::clone(bound));
    let tracker = core.work.clone();
    tracker.spawn(async move {
        bound.holders.close();
        bound.holders.wait().await;
        until_clear(&core).await;
        let fresh = core.rebind();
        log::info!(event = "incarnation_started", incarnation:% = fresh.incarnation; "");
    });
}
