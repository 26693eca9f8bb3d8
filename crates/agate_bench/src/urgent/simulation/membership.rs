//! Heartbeats, pings and sweeps.

use std::time::Duration;

use agate_members::{MemberKey, MembershipChange, Scope, next_heartbeat_delay};

use super::super::event::{Event, Outcome};
use super::super::scenario::ENTRIES;
use super::Simulation;

/// Interval of an entry's sweeps; each sweep pings every member.
const SWEEP_INTERVAL: Duration = Duration::from_millis(250);

impl Simulation {
    pub(super) fn send_heartbeats(&mut self, member: usize) {
        if self.is_lost(self.members[member].zone) {
            return;
        }
        let message = self.members[member].heartbeat();
        for entry in 0..ENTRIES {
            let at = self.now + self.one_way_delay(entry, member);
            let message = Box::new(message.clone());
            self.events
                .push(at, Event::HeartbeatArrived { entry, message });
        }
        let wait = next_heartbeat_delay(&self.preset.membership, Scope::Zone, &mut self.other_rng);
        self.events
            .push(self.now + wait, Event::SendHeartbeats { member });
    }

    pub(super) fn sweep(&mut self, index: usize) {
        self.events
            .push(self.now + SWEEP_INTERVAL, Event::SweepView { entry: index });
        let view = &mut self.entries[index].view;
        let members: Vec<(MemberKey, usize)> = view
            .iter()
            .map(|(key, member)| (key, usize::from(member.info().address.port())))
            .collect();
        for (key, member) in members {
            self.entries[index].view.record_ping(key, self.now);
            if !self.is_lost(self.members[member].zone) {
                let at = self.now + self.one_way_delay(index, member) * 2;
                self.events
                    .push(at, Event::PongArrived { entry: index, key });
            }
        }
        for change in self.entries[index].view.sweep(self.now) {
            if let MembershipChange::Condemned(key) = change {
                for attempt in self.entries[index].open_attempts(key) {
                    self.receive_result(attempt, Outcome::Lost);
                }
            }
        }
    }
}
