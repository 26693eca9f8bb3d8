//! Leases on batch runs.

use std::time::Duration;

use agate_core::Incarnation;
use agate_wire::message::Verdict;

use crate::entry::Entry;

/// Addition to the longest lease that covers the drift of clocks, as a divisor of the lease.
const DRIFT_SHARE: u32 = 20;

/// Addition to the longest lease that covers what takes a fixed time.
const MARGIN: Duration = Duration::from_secs(1);

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
    let (lost, run_ms) = entry.folded.with(|state| {
        let preset = state.config().preset.clone();
        let leases = preset.map(|in_force| in_force.preset.leases);
        let run_ms = leases.unwrap_or_default().run_ms;
        (state.lost(holder).is_some(), run_ms)
    });
    if lost {
        return Duration::ZERO;
    }
    Duration::from_millis(u64::from(run_ms)).saturating_sub(age)
}

/// How long after the record of its loss a holder may still be running: the longest lease that any
/// entry may have granted, and a margin for the drift of clocks.
pub(crate) fn lapse(entry: &Entry) -> Duration {
    let longest = entry.folded.with(|state| {
        let config = state.config();
        let in_force = config.preset.as_ref().map(|p| p.preset.leases.run_ms);
        let published = state.presets().map(|p| p.preset().leases.run_ms);
        let usual = agate_preset::policy::Leases::default().run_ms;
        published.chain(in_force).chain([usual]).max()
    });
    let longest = Duration::from_millis(u64::from(longest.unwrap_or_default()));
    longest + longest / DRIFT_SHARE + MARGIN
}
