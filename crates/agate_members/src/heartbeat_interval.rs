//! Intervals between the heartbeats of an agent to an entry.

use std::time::Duration;

use agate_preset::policy::Membership;
use rand::Rng;

use crate::Scope;

/// Factor by which the heartbeat interval and the suspicion timeout are longer across regions.
pub const REMOTE_INTERVAL_FACTOR: u32 = 3;

/// Random jitter of each interval, in percent in either direction.
const JITTER_PERCENT: f64 = 10.0;

/// Returns a random delay of up to one interval before the first heartbeat, so that agents that
/// start together do not send their heartbeats at the same time.
pub fn first_heartbeat_delay(policy: &Membership, scope: Scope, rng: &mut impl Rng) -> Duration {
    interval(policy, scope).mul_f64(rng.random::<f64>())
}

/// Returns the delay before the next heartbeat.
pub fn next_heartbeat_delay(policy: &Membership, scope: Scope, rng: &mut impl Rng) -> Duration {
    let jitter = rng.random_range(-JITTER_PERCENT..=JITTER_PERCENT);
    interval(policy, scope).mul_f64(1.0 + jitter / 100.0)
}

fn interval(policy: &Membership, scope: Scope) -> Duration {
    Duration::from_millis(u64::from(policy.heartbeat_ms)) * interval_factor(scope)
}

/// Returns the time without heartbeats after which a member at distance `scope` is suspected.
pub(crate) fn suspicion_timeout(policy: &Membership, scope: Scope) -> Duration {
    Duration::from_millis(u64::from(policy.suspect_ms)) * interval_factor(scope)
}

fn interval_factor(scope: Scope) -> u32 {
    match scope {
        Scope::Zone | Scope::Region => 1,
        Scope::Remote => REMOTE_INTERVAL_FACTOR,
    }
}
