//! Simulated backend servers behind the admission control of the agent.

use std::collections::HashMap;

use agate_core::{Host, Incarnation, Moment, RegionName, Resources, Site, Version, ZoneName};
use agate_preset::policy::Admission;
use agate_route::admission::{AdmissionControl, AttemptKey, Clocks, Limits};
use agate_wire::message::{Capacity, Heartbeat, MemberInfo};

use super::scenario::{CONNECTIONS, SLOTS, ZONES};

/// One backend server and its agent.
#[derive(Debug)]
pub(super) struct Member {
    pub(super) zone: usize,
    pub(super) admission: AdmissionControl,
    /// Running and queued attempts by key.
    pub(super) accepted: HashMap<AttemptKey, usize>,
    /// Requests in service at the backend server.
    in_service: u32,
    pub(super) heartbeats: u64,
    index: usize,
}

impl Member {
    pub(super) fn new(index: usize) -> Self {
        let limits = Limits {
            slots: SLOTS,
            connections: CONNECTIONS,
        };
        Self {
            zone: index % ZONES,
            admission: AdmissionControl::new(limits, Admission::default()),
            accepted: HashMap::new(),
            in_service: 0,
            heartbeats: 0,
            index,
        }
    }

    /// Starts a request and returns whether more are in service than there are slots.
    pub(super) const fn start_request(&mut self) -> bool {
        self.in_service += 1;
        self.in_service > SLOTS
    }

    /// Ends a request.
    pub(super) const fn end_request(&mut self) {
        self.in_service -= 1;
    }

    pub(super) fn info(&self) -> MemberInfo {
        MemberInfo {
            incarnation: incarnation(self.index),
            host: Host::Backend,
            address: ([10, 0, 0, 0], u16::try_from(self.index).unwrap_or(0)).into(),
            site: site(self.zone),
            capacity: Capacity {
                slots: SLOTS,
                connections: CONNECTIONS,
                resources: Resources::ZERO,
            },
            classes: Vec::new(),
        }
    }

    pub(super) fn heartbeat(&mut self) -> Heartbeat {
        self.heartbeats += 1;
        Heartbeat {
            incarnation: incarnation(self.index),
            sequence: self.heartbeats,
            leaving: false,
            load: self.admission.load(),
            config: Version::default(),
            runs: Vec::new(),
            usage: Vec::new(),
            urgent: Vec::new(),
            entries: Vec::new(),
        }
    }
}

pub(super) fn clocks(now: Moment) -> Clocks {
    Clocks::new(now, std::time::Duration::ZERO)
}

pub(super) fn site(zone: usize) -> Site {
    let zone = ZoneName::new(format!("zone-{zone}"));
    Site {
        region: RegionName::new("region").expect("the name is valid"),
        zone: zone.expect("the name is valid"),
    }
}

fn incarnation(index: usize) -> Incarnation {
    Incarnation::new(index as u64 + 1)
}
