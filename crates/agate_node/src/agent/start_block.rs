//! What keeps an agent from starting runs. Reports say so, and the leader binds nothing to the worker.

use std::time::Duration;

use agate_jobs::StartBlock;
use agate_jobs::zones::StartCheck;

use super::managed::{ManagedWorker, State};
use crate::clock;

/// Age of the newest read of the orders from which on the agent counts as unable to read them. It is up
/// to 1.4 s while reads succeed, each of which waits for 0.7 s, and 2.1 s after a read that timed out.
const MAX_READ_AGE: Duration = Duration::from_millis(2_200);

/// Updates what keeps the agent from starting runs. Returns whether it has changed.
pub(super) fn update(worker: &ManagedWorker, state: &mut State) -> bool {
    if !state.introduction.is_done() {
        // Nothing is reported yet.
        return false;
    }
    let found = find(worker, state, clock::boottime());
    let known = std::mem::replace(&mut state.start_block, found);
    if known == found {
        return false;
    }
    match found {
        Some(cause) => log::warn!(
            event = "starts_blocked", worker:% = state.incarnation, cause:% = cause; ""
        ),
        None => log::info!(event = "starts_unblocked", worker:% = state.incarnation; ""),
    }
    true
}

fn find(worker: &ManagedWorker, state: &State, now: Duration) -> Option<StartBlock> {
    let is_stale = |read_at: Duration| now.saturating_sub(read_at) > MAX_READ_AGE;
    if state.synced_at.is_none_or(is_stale) {
        return Some(StartBlock::OrdersStale);
    }
    let zones = worker.zones.as_ref()?;
    match zones.check(&state.heartbeat.zone, now) {
        StartCheck::NotLoaded => Some(StartBlock::ZonesNotLoaded),
        StartCheck::Stale => Some(StartBlock::ZonesStale),
        // The leader reads the withdrawal itself.
        StartCheck::Allowed | StartCheck::Withdrawn => None,
    }
}
