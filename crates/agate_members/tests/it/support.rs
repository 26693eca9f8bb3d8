//! Constructors of members, views and queries.

use std::time::Duration;

use agate_core::{
    ClassName, Host, Incarnation, Moment, RegionName, Resources, Site, Version, ZoneName,
};
use agate_members::{AnnounceOutcome, CandidateQuery, MemberKey, Scope, View};
use agate_preset::policy::Membership;
use agate_wire::message::{Capacity, Heartbeat, Load, MemberInfo};

/// Number of slots of each member.
pub const SLOTS: u32 = 8;

pub fn site(region: &str, zone: &str) -> Site {
    Site {
        region: RegionName::new(region).expect("the name is valid"),
        zone: ZoneName::new(zone).expect("the name is valid"),
    }
}

pub fn local_site() -> Site {
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
        site: local_site(),
        capacity: Capacity {
            slots: SLOTS,
            connections: 64,
            resources: Resources::ZERO,
        },
        classes: Vec::new(),
    }
}

pub fn heartbeat(id: u16, sequence: u64) -> Heartbeat {
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

pub fn empty_view() -> View {
    View::new(local_site(), Membership::default(), Moment::ZERO)
}

pub fn join(view: &mut View, info: MemberInfo, now: Moment) -> MemberKey {
    match view.announce(info, now) {
        AnnounceOutcome::Joined(key)
        | AnnounceOutcome::Known(key)
        | AnnounceOutcome::Replaced { key, .. } => key,
        AnnounceOutcome::Contradicted(_) => panic!("the member is known with other information"),
        AnnounceOutcome::Gone => panic!("the member is gone"),
    }
}

/// Returns a query for backend servers in the local zone without warmup.
pub fn zone_query(class: &ClassName) -> CandidateQuery<'_> {
    CandidateQuery {
        host: Host::Backend,
        class,
        scope: Scope::Zone,
        warmup: Duration::ZERO,
    }
}

/// Returns the number of members in the local zone that may get new work.
pub fn active(view: &View) -> usize {
    view.occupancy(&zone_query(&class())).members
}
