//! What is simulated.

use std::time::Duration;

use strum::{Display, EnumIter};

/// How entries choose members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RoutingPolicy {
    /// The policy under test.
    Policy,
    /// Each member in turn.
    RoundRobin,
    /// The least requests for each slot by the newest readings, among all members.
    LeastLoaded,
}

/// How entries repeat failed attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryPolicy {
    /// The policy under test.
    Budget,
    /// At once and again, until the deadline.
    Unlimited,
}

/// A pair of choices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strategy {
    /// How entries choose members.
    pub routing: RoutingPolicy,
    /// How entries repeat failed attempts.
    pub retry: RetryPolicy,
}

impl Strategy {
    /// The policy under test, then the baselines.
    pub const ALL: [Self; 4] = [
        Self::new(RoutingPolicy::Policy, RetryPolicy::Budget),
        Self::new(RoutingPolicy::RoundRobin, RetryPolicy::Budget),
        Self::new(RoutingPolicy::LeastLoaded, RetryPolicy::Budget),
        Self::new(RoutingPolicy::RoundRobin, RetryPolicy::Unlimited),
    ];

    const fn new(routing: RoutingPolicy, retry: RetryPolicy) -> Self {
        Self { routing, retry }
    }
}

/// What goes wrong.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// Nothing.
    None,
    /// One member in ten is five times slower.
    SlowMember,
    /// One zone is gone; connections to it are reset at once.
    ZoneReset,
    /// One zone is gone; connections to it go silent.
    ZoneSilent,
    /// Every backend server of one zone fails each request quickly, while its agent lives on.
    ZoneFailing,
    /// Three times the requests that all slots can serve.
    Overload,
}

/// One workload.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// What goes wrong.
    pub fault: Fault,
    /// Seed of everything random.
    pub seed: u64,
}

/// Zones of the region.
pub const ZONES: usize = 3;
/// Members, spread over the zones in turn.
pub const MEMBERS: usize = 10;
/// Entries, spread over the zones in turn.
pub const ENTRIES: usize = 4;
/// Slots of each member.
pub const SLOTS: u32 = 8;
/// Connections of each member.
pub const CONNECTIONS: u32 = 64;
/// Mean service time; single ones are spread evenly from half to one and a half times it.
pub const MEAN_SERVICE: Duration = Duration::from_millis(20);
/// Time from arrival to deadline.
pub const DEADLINE: Duration = Duration::from_secs(1);
/// One-way delay within a zone.
pub const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);
/// One-way delay between zones.
pub const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1);
/// Simulated time before counting starts.
pub const WARMUP: Duration = Duration::from_secs(5);
/// Simulated time in all.
pub const DURATION: Duration = Duration::from_secs(25);
/// The slow member.
pub const SLOW_MEMBER: usize = 4;
/// How many times slower it is.
pub const SLOW_FACTOR: f64 = 5.0;
/// The zone that is lost, from the end of the warm-up on.
pub const LOST_ZONE: usize = 1;
/// Share of the capacity that is asked for without overload.
const USUAL_LOAD: f64 = 0.5;
/// Share of the capacity that is asked for in overload.
const OVERLOAD: f64 = 3.0;

impl Scenario {
    /// Requests that all slots together can serve each second.
    pub fn capacity() -> f64 {
        MEMBERS as f64 * f64::from(SLOTS) / MEAN_SERVICE.as_secs_f64()
    }

    /// Requests that arrive each second.
    pub fn arrival_rate(&self) -> f64 {
        let load = match self.fault {
            Fault::Overload => OVERLOAD,
            Fault::None
            | Fault::SlowMember
            | Fault::ZoneReset
            | Fault::ZoneSilent
            | Fault::ZoneFailing => USUAL_LOAD,
        };
        load * Self::capacity()
    }

    /// Whether the backend servers of `zone` fail once counting has started.
    pub fn zone_fails(&self, zone: usize) -> bool {
        self.fault == Fault::ZoneFailing && zone == LOST_ZONE
    }

    /// Whether a member or entry of `zone` is lost once counting has started.
    pub fn zone_lost(&self, zone: usize) -> bool {
        matches!(self.fault, Fault::ZoneReset | Fault::ZoneSilent) && zone == LOST_ZONE
    }
}
