//! Leases on batch runs.

use std::time::Duration;

use agate_core::Incarnation;
use agate_preset::policy::Leases;
use agate_state::State;
use agate_wire::message::Verdict;

use super::LeaseBound;
use crate::entry::Entry;

/// The lease that a heartbeat earns: the time for which a run may be held, less the age of the
/// state. An entry that can't read the log grants nothing, and neither does one that knows of the
/// sender's loss.
pub(crate) fn lease(entry: &Entry, holder: Incarnation, verdict: Verdict) -> Duration {
    match verdict {
        Verdict::Known => {}
        Verdict::Unknown | Verdict::Lost => return Duration::ZERO,
    }
    // The age is read before the loss: a loss that is folded in between is seen.
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

/// The length of leases that the folded state puts in force.
pub(super) fn length(state: &State) -> Duration {
    let config = state.config();
    let leases = config.preset.as_ref().map(|p| p.preset.leases);
    millis(leases.unwrap_or_default())
}

/// Bounds the leases that may be held when this process reads the log for the first time.
pub(super) fn bound(entry: &Entry, state: &State) -> LeaseBound {
    let published = state.presets().map(|p| millis(p.preset().leases));
    let earlier = published.chain([millis(Leases::default())]);
    LeaseBound::new(length(state), earlier, entry.clock.now())
}

fn millis(leases: Leases) -> Duration {
    Duration::from_millis(u64::from(leases.run_ms))
}
