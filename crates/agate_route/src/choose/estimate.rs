//! When a member can be expected to answer.

use std::time::Duration;

use agate_core::Moment;
use agate_members::{Member, Occupancy, Scope};

use super::flow::Flow;

/// Age at which half of a reading is replaced by the mean load of the members drawn from.
const READING_HALF_LIFE: Duration = Duration::from_millis(500);

/// Service time assumed until one is known.
const UNKNOWN_SERVICE: Duration = Duration::from_millis(10);

/// Share of the service time that a full set of slots adds before a queue forms. It stands for
/// the chance that arrivals bunch, and breaks ties towards the emptier member.
const BUNCHING: f64 = 0.25;

/// Expected course of a request at one member.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Estimate {
    /// Time in the member's queue.
    pub wait: Duration,
    /// Time from sending to the answer.
    pub total: Duration,
}

impl Estimate {
    /// Time that messages take to `member` and back.
    pub(super) fn round_trip(member: &Member, flow: &Flow) -> Duration {
        flow.delay.get().unwrap_or_else(|| assumed_delay(member))
    }

    /// Estimates for one more request at `member`; `mean` is the load of all members drawn from
    /// and `typical` the service time assumed for a member that has told none.
    pub(super) fn new(
        member: &Member,
        flow: &Flow,
        mean: Occupancy,
        typical: Option<Duration>,
        now: Moment,
    ) -> Self {
        let slots = f64::from(member.info().capacity.slots.max(1));
        let busy = expected_busy(member, flow, mean, now);
        let service = service_time(member, typical);
        let excess = (busy + 1.0 - slots).max(0.0) / slots;
        let bunching = (busy / slots).min(1.0) * BUNCHING;
        let wait = service.mul_f64(excess);
        Self {
            wait,
            total: Self::round_trip(member, flow) + service + wait + service.mul_f64(bunching),
        }
    }
}

/// Requests expected at a member: its reading, drawn towards the mean as it ages, and what this
/// entry has sent since. Never less than what this entry has there.
fn expected_busy(member: &Member, flow: &Flow, mean: Occupancy, now: Moment) -> f64 {
    let reading = member.load_sample();
    let age = now.since(reading.received_at).as_secs_f64();
    let half = READING_HALF_LIFE.as_secs_f64();
    let trust = half / (half + age);
    let told = f64::from(reading.load.running) + f64::from(reading.load.queued);
    let slots = f64::from(member.info().capacity.slots);
    let usual = mean.busy as f64 / (mean.slots.max(1) as f64) * slots;
    let aged = told * trust + usual * (1.0 - trust);
    (aged + f64::from(flow.unseen(&reading))).max(f64::from(flow.in_flight))
}

fn service_time(member: &Member, typical: Option<Duration>) -> Duration {
    match member.load_sample().load.service_us {
        0 => typical.unwrap_or(UNKNOWN_SERVICE),
        us => Duration::from_micros(us),
    }
}

/// Round trip assumed until a ping has been answered.
fn assumed_delay(member: &Member) -> Duration {
    match member.scope() {
        Scope::Zone => Duration::from_millis(1),
        Scope::Region => Duration::from_millis(3),
        Scope::Remote => Duration::from_millis(16),
    }
}
