//! Members for tests.

use std::time::Duration;

use agate_core::{
    ClassName, Host, Incarnation, Moment, RegionName, Resources, Site, Version, ZoneName,
};
use agate_members::{AnnounceOutcome, CandidateQuery, MemberKey, Scope, View};
use agate_preset::policy::Membership;
use agate_wire::message::{Capacity, Heartbeat, Load, MemberInfo};

/// Slots of each member.
pub const SLOTS: u32 = 8;

pub fn site(region: &str, zone: &str) -> Site {
    Site {
        region: RegionName::new(region).expect("the name is valid"),
        zone: ZoneName::new(zone).expect("the name is valid"),
    }
}

pub fn here() -> Site {
    site("khomas", "a")
}

pub fn class() -> ClassName {
    ClassName::new("seat-check").expect("the name is valid")
}

pub fn member(id: u16) -> MemberInfo {
    MemberInfo {
        incarnation: Incarnation::new(u64::from(id)),
        host: Host::Backend,
        address: ([10, 0, 0, 1], id).into(),
        site: here(),
        capacity: Capacity {
            slots: SLOTS,
            connections: 64,
            resources: Resources::ZERO,
        },
        classes: Vec::new(),
    }
}

pub fn beat(id: u16, sequence: u64) -> Heartbeat {
    Heartbeat {
        incarnation: Incarnation::new(u64::from(id)),
        sequence,
        leaving: false,
        load: Load::default(),
        config: Version::default(),
        runs: Vec::new(),
        usage: Vec::new(),
        urgent: Vec::new(),
        entries: Vec::new(),
    }
}

pub fn ms(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

pub fn empty() -> View {
    View::new(here(), Membership::default(), Moment::ZERO)
}

pub fn join(view: &mut View, info: MemberInfo, now: Moment) -> MemberKey {
    match view.announce(info, now) {
        AnnounceOutcome::Joined(key)
        | AnnounceOutcome::Known(key)
        | AnnounceOutcome::Replaced { key, .. } => key,
        AnnounceOutcome::Gone => panic!("the member is gone"),
    }
}

/// A draw of backend servers in the own zone without slow start.
pub fn near(class: &ClassName) -> CandidateQuery<'_> {
    CandidateQuery {
        host: Host::Backend,
        class,
        scope: Scope::Zone,
        warmup: Duration::ZERO,
    }
}

/// Members that may get new work in the own zone.
pub fn active(view: &View) -> usize {
    view.occupancy(&near(&class())).members
}
