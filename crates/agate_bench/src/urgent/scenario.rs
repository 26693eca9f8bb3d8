//! Scenarios and strategies.

use std::time::Duration;

use strum::{Display, EnumIter};

/// How entries choose members.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RoutingPolicy {
    /// The policy under test.
    Policy,
    /// Round robin over the active members.
    RoundRobin,
    /// The active member with the fewest requests by the latest load samples.
    LeastLoaded,
}

/// How entries retry failed attempts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum RetryPolicy {
    /// The policy under test.
    Budget,
    /// Immediate retries until the deadline.
    Unlimited,
}

/// A routing policy and a retry policy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Strategy {
    /// How entries choose members.
    pub routing: RoutingPolicy,
    /// How entries retry failed attempts.
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

/// Injected fault.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
pub enum Fault {
    /// No fault.
    None,
    /// One of ten members is five times slower.
    SlowMember,
    /// One zone is lost; connections to it are reset immediately.
    ZoneReset,
    /// One zone is lost; connections to it are silent.
    ZoneSilent,
    /// The backend servers of one zone fail every request quickly; their agents keep running.
    ZoneFailing,
    /// Requests arrive at three times the capacity of all slots.
    Overload,
}

/// Parameters of a simulation.
#[derive(Debug, Clone, Copy)]
pub struct Scenario {
    /// Injected fault.
    pub fault: Fault,
    /// Seed of the random number generators.
    pub seed: u64,
}

/// Availability zones of the region.
pub const ZONES: usize = 3;
/// Members, spread over the zones in turn.
pub const MEMBERS: usize = 10;
/// Entries, spread over the zones in turn.
pub const ENTRIES: usize = 4;
/// Slots of each member.
pub const SLOTS: u32 = 8;
/// Connections of each member.
pub const CONNECTIONS: u32 = 64;
/// Mean service time; service times are uniform between half and one and a half times it.
pub const MEAN_SERVICE: Duration = Duration::from_millis(20);
/// Time from arrival to deadline.
pub const DEADLINE: Duration = Duration::from_secs(1);
/// One-way delay within a zone.
pub const SAME_ZONE_DELAY: Duration = Duration::from_micros(100);
/// One-way delay between zones.
pub const CROSS_ZONE_DELAY: Duration = Duration::from_millis(1);
/// Simulated time before requests are counted.
pub const WARMUP: Duration = Duration::from_secs(5);
/// Total simulated time.
pub const DURATION: Duration = Duration::from_secs(25);
/// The slow member.
pub const SLOW_MEMBER: usize = 4;
/// Factor on the service time of the slow member.
pub const SLOW_FACTOR: f64 = 5.0;
/// Zone that is lost or fails after the warm-up.
pub const FAULTY_ZONE: usize = 1;
/// Arrival rate without overload, as a share of the capacity.
const NORMAL_LOAD: f64 = 0.5;
/// Arrival rate during overload, as a share of the capacity.
const OVERLOAD_LOAD: f64 = 3.0;

impl Scenario {
    /// Returns the requests per second that all slots together can serve.
    pub fn capacity() -> f64 {
        MEMBERS as f64 * f64::from(SLOTS) / MEAN_SERVICE.as_secs_f64()
    }

    /// Returns the requests that arrive per second.
    pub fn arrival_rate(&self) -> f64 {
        let load = match self.fault {
            Fault::Overload => OVERLOAD_LOAD,
            Fault::None
            | Fault::SlowMember
            | Fault::ZoneReset
            | Fault::ZoneSilent
            | Fault::ZoneFailing => NORMAL_LOAD,
        };
        load * Self::capacity()
    }

    /// Returns whether the backend servers of `zone` fail after the warm-up.
    pub fn zone_fails(&self, zone: usize) -> bool {
        self.fault == Fault::ZoneFailing && zone == FAULTY_ZONE
    }

    /// Returns whether the members and entries of `zone` are lost after the warm-up.
    pub fn zone_lost(&self, zone: usize) -> bool {
        matches!(self.fault, Fault::ZoneReset | Fault::ZoneSilent) && zone == FAULTY_ZONE
    }
}
