//! Fixtures and bounds of the instruction benchmarks of urgent requests.

use std::time::Duration;

use agate_core::{
    ClassName, Host, Incarnation, Moment, RegionName, Resources, Site, Version, ZoneName,
};
use agate_members::{MemberKey, View};
use agate_preset::Preset;
use agate_preset::policy::Admission;
use agate_route::admission::{
    AdmissionControl, AdmissionDecision, AttemptOutcome, Clocks, Limits, Offer,
};
use agate_route::budget::Deadline;
use agate_route::choose::{Choice, Chooser, Request};
use agate_route::outlier::OutlierDetector;
use agate_wire::message::{Capacity, Heartbeat, Load, MemberInfo, Verdict};
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::budget::DecisionBudget;
use super::{Cost, Growth};

/// Benchmarks of urgent requests.
pub const COSTS: [Cost; 5] = [
    Cost {
        function: "choose",
        id: "members_10",
        decision_budget: DecisionBudget::CHOOSE,
    },
    Cost {
        function: "choose",
        id: "members_1000",
        decision_budget: DecisionBudget::CHOOSE,
    },
    Cost {
        function: "hear",
        id: "members_10",
        decision_budget: DecisionBudget::HEARTBEAT,
    },
    Cost {
        function: "hear",
        id: "members_1000",
        decision_budget: DecisionBudget::HEARTBEAT,
    },
    Cost {
        function: "offer_and_finish",
        id: "busy",
        decision_budget: DecisionBudget::ADMIT,
    },
];

/// Allowed growth of decisions with a hundred times the members.
pub const GROWTH: [Growth; 2] = [growth_bound("choose"), growth_bound("hear")];

const fn growth_bound(function: &'static str) -> Growth {
    Growth {
        function,
        small: "members_10",
        large: "members_1000",
        max_factor: 2.0,
    }
}

/// Time of the measured calls, well after the view has been filled.
const NOW: Moment = Moment::from_millis(60_000);

/// Time until the deadline of a request.
const REQUEST_BUDGET: Duration = Duration::from_secs(1);

/// Slots of each member.
const SLOTS: u32 = 8;

/// Availability zones that the members are spread over.
const ZONES: u64 = 3;

/// An entry whose view holds some members.
#[derive(Debug)]
pub struct RoutingFixture {
    view: View,
    chooser: Chooser,
    detector: OutlierDetector,
    class: ClassName,
    rng: SmallRng,
}

impl RoutingFixture {
    /// Creates an entry that knows `members` members, each under load.
    pub fn with_members(members: u64) -> Self {
        let preset = Preset::default();
        let mut view = View::new(site(0), preset.membership, Moment::ZERO);
        for index in 1..=members {
            view.announce(member(index), Moment::ZERO);
        }
        for index in 1..=members {
            view.record_heartbeat(&heartbeat(index, 1), NOW);
        }
        Self {
            view,
            chooser: Chooser::new(preset.routing, preset.link, Moment::ZERO),
            detector: OutlierDetector::new(preset.routing),
            class: class(),
            rng: SmallRng::seed_from_u64(1),
        }
    }

    /// Chooses a member and records that a request was sent to it.
    ///
    /// # Panics
    ///
    /// If no member is chosen, because the benchmark would measure another path.
    pub fn choose(&mut self) -> MemberKey {
        let request = Request {
            class: &self.class,
            deadline: Deadline::after(NOW, REQUEST_BUDGET),
            bytes: 500,
            tried: &[],
        };
        let (view, detector) = (&self.view, &mut self.detector);
        let choice = self
            .chooser
            .choose(&request, view, detector, NOW, &mut self.rng);
        let Choice::Send { key, .. } = choice else {
            panic!("no member was chosen: {choice:?}");
        };
        self.chooser.record_sent(key, 500, view, NOW);
        key
    }

    /// Applies a heartbeat of a member.
    ///
    /// # Panics
    ///
    /// If the member is unknown.
    pub fn receive_heartbeat(&mut self, message: &Heartbeat) {
        assert_eq!(
            self.view.record_heartbeat(message, NOW),
            Verdict::Known,
            "the member is known"
        );
    }
}

/// Returns the second heartbeat of the first member.
pub fn second_heartbeat() -> Heartbeat {
    heartbeat(1, 2)
}

/// Admission control of an agent with all slots busy and as many requests queued as it has slots.
#[derive(Debug)]
pub struct AdmissionFixture {
    control: AdmissionControl,
    class: ClassName,
    running: agate_route::admission::AttemptKey,
    rng: SmallRng,
}

impl AdmissionFixture {
    /// Creates admission control under load.
    ///
    /// # Panics
    ///
    /// If the first request is not started.
    pub fn busy() -> Self {
        let limits = Limits {
            slots: SLOTS,
            connections: 64,
        };
        let mut control = AdmissionControl::new(limits, Admission::default());
        let class = class();
        let mut rng = SmallRng::seed_from_u64(1);
        let clocks = Clocks::new(NOW, Duration::ZERO);
        let mut offer = || control.offer(&offer(&class), clocks, &mut rng);
        let AdmissionDecision::Start(running) = offer() else {
            panic!("the first request was not started");
        };
        for _ in 1..SLOTS * 2 {
            offer();
        }
        Self {
            control,
            class,
            running,
            rng,
        }
    }

    /// Queues one request and finishes another, which starts a third.
    ///
    /// # Panics
    ///
    /// If the request is not queued or none is started, because the benchmark would measure another
    /// path.
    pub fn offer_and_finish(&mut self) {
        let clocks = Clocks::new(NOW + Duration::from_millis(20), Duration::ZERO);
        let decision = self
            .control
            .offer(&offer(&self.class), clocks, &mut self.rng);
        assert!(
            matches!(decision, AdmissionDecision::Queue(_)),
            "the request was not queued"
        );
        let update = self.control.finish(
            self.running,
            AttemptOutcome::Answered,
            clocks,
            &mut self.rng,
        );
        assert_eq!(update.start.len(), 1, "nothing was started");
    }
}

fn offer(class: &ClassName) -> Offer<'_> {
    Offer {
        class,
        share_percent: 100,
        budget: REQUEST_BUDGET,
    }
}

fn member(index: u64) -> MemberInfo {
    MemberInfo {
        incarnation: Incarnation::new(index),
        host: Host::Backend,
        address: ([10, 0, 0, 0], u16::try_from(index).unwrap_or(u16::MAX)).into(),
        site: site(index % ZONES),
        capacity: Capacity {
            slots: SLOTS,
            connections: 64,
            resources: Resources::ZERO,
        },
        classes: Vec::new(),
    }
}

fn heartbeat(index: u64, sequence: u64) -> Heartbeat {
    // The load is high enough that the own zone spills over into the others, the costliest choice.
    let running = SLOTS - u32::try_from(index % 2).unwrap_or(0);
    Heartbeat {
        incarnation: Incarnation::new(index),
        sequence,
        leaving: false,
        load: Load {
            running,
            queued: 0,
            service_us: 20_000,
            held: Resources::ZERO,
        },
        config: Version::default(),
        runs: Vec::new(),
        usage: Vec::new(),
        urgent: Vec::new(),
        entries: Vec::new(),
    }
}

fn site(zone: u64) -> Site {
    let zone = ZoneName::new(format!("zone-{zone}"));
    Site {
        region: RegionName::new("region").expect("the name is valid"),
        zone: zone.expect("the name is valid"),
    }
}

fn class() -> ClassName {
    ClassName::new("seat-check").expect("the name is valid")
}
