//! Lease renewal for batch runs.

use std::time::Duration;

use agate_core::Incarnation;
use agate_preset::policy::Leases;
use agate_state::State;
use agate_wire::message::Verdict;

use super::LeaseBound;
use crate::entry::Entry;

/// Returns the lease granted for a heartbeat: the lease length minus the age of the state. An entry
/// grants no lease while it can't read the log or once it knows that the holder is lost.
pub(crate) fn lease(entry: &Entry, holder: Incarnation, verdict: Verdict) -> Duration {
    match verdict {
        Verdict::Known => {}
        Verdict::Unknown | Verdict::Lost => return Duration::ZERO,
    }
    // The age is read before the loss, so a loss that is folded in between is seen.
    let Some(age) = entry.folded.age() else {
        return Duration::ZERO;
    };
    let (is_lost, length) = entry
        .folded
        .with(|state| (state.lost_at(holder).is_some(), length(state)));
    if is_lost {
        return Duration::ZERO;
    }
    length.saturating_sub(age)
}

/// Returns the lease length in force.
pub(super) fn length(state: &State) -> Duration {
    let config = state.config();
    let leases = config.preset.as_ref().map(|p| p.preset.leases);
    millis(leases.unwrap_or_default())
}

/// Returns the bound on leases that may be held when this process first reads the log.
pub(super) fn initial_bound(entry: &Entry, state: &State) -> LeaseBound {
    let published = state.presets().map(|p| millis(p.preset().leases));
    let earlier = published.chain([millis(Leases::default())]);
    LeaseBound::new(length(state), earlier, entry.clock.now())
}

fn millis(leases: Leases) -> Duration {
    Duration::from_millis(u64::from(leases.run_ms))
}
