//! How often an agent sends heartbeats to one entry.

use std::time::Duration;

use agate_preset::policy::Membership;
use rand::Rng;

use crate::Scope;

/// How many times rarer heartbeats to another region are, and how many times more silence is
/// accepted from there.
pub const REMOTE_INTERVAL_FACTOR: u32 = 3;

/// Random change of each interval, in percent either way.
const JITTER_PERCENT: f64 = 10.0;

/// The wait before the first heartbeat: anywhere within one interval, so that agents that start
/// together don't stay in step.
pub fn first_heartbeat_delay(policy: &Membership, scope: Scope, rng: &mut impl Rng) -> Duration {
    interval(policy, scope).mul_f64(rng.random::<f64>())
}

/// The wait before the next heartbeat.
pub fn next_heartbeat_delay(policy: &Membership, scope: Scope, rng: &mut impl Rng) -> Duration {
    let jitter = rng.random_range(-JITTER_PERCENT..=JITTER_PERCENT);
    interval(policy, scope).mul_f64(1.0 + jitter / 100.0)
}

fn interval(policy: &Membership, scope: Scope) -> Duration {
    Duration::from_millis(u64::from(policy.heartbeat_ms)) * interval_factor(scope)
}

/// Silence after which a member at distance `scope` is suspected.
pub(crate) fn suspicion_timeout(policy: &Membership, scope: Scope) -> Duration {
    Duration::from_millis(u64::from(policy.suspect_ms)) * interval_factor(scope)
}

fn interval_factor(scope: Scope) -> u32 {
    match scope {
        Scope::Zone | Scope::Region => 1,
        Scope::Remote => REMOTE_INTERVAL_FACTOR,
    }
}
