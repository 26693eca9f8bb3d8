//! Heartbeats, pings and sweeps.

use std::time::Duration;

use agate_members::{MemberKey, MembershipChange, Scope, next_heartbeat_delay};

use super::super::event::{Event, Outcome};
use super::super::scenario::ENTRIES;
use super::Simulation;

/// Time between two sweeps of an entry, each with a ping of every member.
const SWEEP: Duration = Duration::from_millis(250);

impl Simulation {
    pub(super) fn beat(&mut self, member: usize) {
        if self.is_lost(self.members[member].zone) {
            return;
        }
        let beat = self.members[member].heartbeat();
        for entry in 0..ENTRIES {
            let at = self.now + self.delay(entry, member);
            let beat = Box::new(beat.clone());
            self.events.push(at, Event::Heard { entry, beat });
        }
        let wait = next_heartbeat_delay(&self.preset.membership, Scope::Zone, &mut self.noise);
        self.events.push(self.now + wait, Event::Beat { member });
    }

    pub(super) fn sweep(&mut self, index: usize) {
        self.events
            .push(self.now + SWEEP, Event::Sweep { entry: index });
        let view = &mut self.entries[index].view;
        let members: Vec<(MemberKey, usize)> = view
            .iter()
            .map(|(key, member)| (key, usize::from(member.info().address.port())))
            .collect();
        for (key, member) in members {
            self.entries[index].view.record_ping(key, self.now);
            if !self.is_lost(self.members[member].zone) {
                let at = self.now + self.delay(index, member) * 2;
                self.events.push(at, Event::Pong { entry: index, key });
            }
        }
        for change in self.entries[index].view.sweep(self.now) {
            if let MembershipChange::Condemned(key) = change {
                for attempt in self.entries[index].open_at(key) {
                    self.result(attempt, Outcome::Lost);
                }
            }
        }
    }
}
