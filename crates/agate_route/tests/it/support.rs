//! Shared test fixtures: members, requests and clocks.

use std::time::Duration;

use agate_core::{
    CallerName, ClassName, Host, Incarnation, Moment, RegionName, Resources, Site, ZoneName,
};
use agate_members::{AnnounceOutcome, MemberKey, View};
use agate_preset::policy::{Admission, Membership};
use agate_route::admission::{
    AdmissionControl, AdmissionDecision, AttemptKey, Clocks, Limits, Offer, Refused,
};
use agate_wire::message::{Capacity, Load, MemberInfo};
use rand::SeedableRng;
use rand::rngs::SmallRng;

/// Slots of each member.
pub const SLOTS: u32 = 8;

pub fn rng() -> SmallRng {
    SmallRng::seed_from_u64(1)
}

pub fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

pub fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

pub fn clocks(now_ms: u64) -> Clocks {
    Clocks::new(at(now_ms), Duration::ZERO)
}

pub fn class() -> ClassName {
    ClassName::new("seat-check").expect("the name is valid")
}

pub fn caller() -> CallerName {
    CallerName::new("gabbai").expect("the name is valid")
}

pub fn control(slots: u32, connections: u32) -> AdmissionControl {
    AdmissionControl::new(Limits { slots, connections }, Admission::default())
}

/// Offers a request of the default class.
pub fn offer(control: &mut AdmissionControl, budget_ms: u64, now_ms: u64) -> AdmissionDecision {
    offer_class(control, &class(), 100, budget_ms, now_ms)
}

pub fn offer_class(
    control: &mut AdmissionControl,
    class: &ClassName,
    share_percent: u32,
    budget_ms: u64,
    now_ms: u64,
) -> AdmissionDecision {
    let offer = Offer {
        class,
        share_percent,
        budget: ms(budget_ms),
    };
    control.offer(&offer, clocks(now_ms), &mut rng())
}

pub fn started(decision: AdmissionDecision) -> AttemptKey {
    match decision {
        AdmissionDecision::Start(key) => key,
        other => panic!("not started: {other:?}"),
    }
}

pub fn queued(decision: AdmissionDecision) -> AttemptKey {
    match decision {
        AdmissionDecision::Queue(key) => key,
        other => panic!("not queued: {other:?}"),
    }
}

pub fn refused(decision: AdmissionDecision) -> Refused {
    match decision {
        AdmissionDecision::Refuse(refused) => refused,
        other => panic!("not refused: {other:?}"),
    }
}

/// A view from zone a of region khomas, created at time zero.
pub fn view() -> View {
    View::new(site("khomas", "a"), Membership::default(), Moment::ZERO)
}

fn site(region: &str, zone: &str) -> Site {
    Site {
        region: RegionName::new(region).expect("the name is valid"),
        zone: ZoneName::new(zone).expect("the name is valid"),
    }
}

/// Adds a member and records its load.
pub fn join(view: &mut View, id: u16, site_names: (&str, &str), load: Load) -> MemberKey {
    join_at(view, id, site_names, load, Moment::ZERO)
}

pub fn join_at(
    view: &mut View,
    id: u16,
    site_names: (&str, &str),
    load: Load,
    now: Moment,
) -> MemberKey {
    let info = MemberInfo {
        incarnation: Incarnation::new(u64::from(id)),
        host: Host::Backend,
        address: ([10, 0, 0, 1], id).into(),
        site: site(site_names.0, site_names.1),
        capacity: Capacity {
            slots: SLOTS,
            connections: 64,
            resources: Resources::ZERO,
        },
        classes: Vec::new(),
    };
    let AnnounceOutcome::Joined(key) = view.announce(info, now) else {
        panic!("the member is not new");
    };
    view.update_load(key, load, at(60_000));
    key
}

/// A load of `running` requests with a service time of 20 ms.
pub fn load(running: u32) -> Load {
    served_in(running, 20)
}

pub fn served_in(running: u32, service_ms: u64) -> Load {
    Load {
        running,
        queued: 0,
        service_us: service_ms * 1_000,
        held: Resources::ZERO,
    }
}
