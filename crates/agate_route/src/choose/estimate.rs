//! Estimates when a member will answer.

use std::time::Duration;

use agate_core::Moment;
use agate_members::{Member, Occupancy, Scope};

use super::traffic::Traffic;

/// Age at which a load reading counts as much as the mean load of the members drawn from.
const READING_HALF_LIFE: Duration = Duration::from_millis(500);

/// Service time assumed until one is known.
const DEFAULT_SERVICE_TIME: Duration = Duration::from_millis(10);

/// Fraction of the service time added when all slots are busy, and proportionally less when fewer
/// are. It accounts for bursts of arrivals and breaks ties in favor of the less loaded member.
const BURST_WEIGHT: f64 = 0.25;

/// Expected timing of a request at one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Time spent in the member's queue.
    pub wait: Duration,
    /// Time from sending to the answer.
    pub total: Duration,
}

impl Estimate {
    /// Returns the round-trip time to `member`.
    pub(super) fn round_trip(member: &Member, traffic: &Traffic) -> Duration {
        traffic
            .rtt
            .get()
            .unwrap_or_else(|| default_round_trip(member))
    }

    /// Estimates the timing of one more request at `member`. `mean` is the load of all members
    /// drawn from, and `default_service` the service time of a member that has reported none.
    pub(super) fn new(
        member: &Member,
        traffic: &Traffic,
        mean: Occupancy,
        default_service: Option<Duration>,
        now: Moment,
    ) -> Self {
        let slots = f64::from(member.info().capacity.slots.max(1));
        let busy = expected_busy(member, traffic, mean, now);
        let service = service_time(member, default_service);
        let excess = (busy + 1.0 - slots).max(0.0) / slots;
        let burst = (busy / slots).min(1.0) * BURST_WEIGHT;
        let wait = service.mul_f64(excess);
        Self {
            wait,
            total: Self::round_trip(member, traffic) + service + wait + service.mul_f64(burst),
        }
    }
}

/// Returns the number of requests expected at a member: its load reading, which approaches the mean
/// as it ages, plus the requests that this entry has sent since. It is at least the number of
/// requests that this entry has in flight there.
fn expected_busy(member: &Member, traffic: &Traffic, mean: Occupancy, now: Moment) -> f64 {
    let reading = member.load_sample();
    let age = now.since(reading.received_at).as_secs_f64();
    let half_life = READING_HALF_LIFE.as_secs_f64();
    let weight = half_life / (half_life + age);
    let reported = f64::from(reading.load.running) + f64::from(reading.load.queued);
    let slots = f64::from(member.info().capacity.slots);
    let mean_busy = mean.busy as f64 / (mean.slots.max(1) as f64) * slots;
    let discounted = reported * weight + mean_busy * (1.0 - weight);
    (discounted + f64::from(traffic.unreported(&reading))).max(f64::from(traffic.in_flight))
}

fn service_time(member: &Member, default_service: Option<Duration>) -> Duration {
    match member.load_sample().load.service_us {
        0 => default_service.unwrap_or(DEFAULT_SERVICE_TIME),
        us => Duration::from_micros(us),
    }
}

/// Returns the round-trip time assumed until a ping has been answered.
fn default_round_trip(member: &Member) -> Duration {
    match member.scope() {
        Scope::Zone => Duration::from_millis(1),
        Scope::Region => Duration::from_millis(3),
        Scope::Remote => Duration::from_millis(16),
    }
}
