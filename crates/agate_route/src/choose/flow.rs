//! What this entry has under way at each member.

use std::time::Duration;

use agate_core::Moment;
use agate_members::{LoadSample, MemberKey};
use slotmap::SecondaryMap;

use crate::smoothed::Smoothed;

/// Traffic between this entry and one member.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Flow {
    /// Requests sent and not answered.
    pub(super) in_flight: u32,
    /// Requests sent since the reading that was newest at the last one.
    sent: u32,
    reading: Moment,
    /// Round trip of pings.
    pub(super) delay: Smoothed,
}

impl Flow {
    /// Requests in flight that `reading` can't have counted.
    pub(super) fn unseen(&self, reading: &LoadSample) -> u32 {
        if self.reading == reading.received_at {
            self.sent.min(self.in_flight)
        } else {
            0
        }
    }

    pub(super) fn sent(&mut self, reading: &LoadSample) {
        if self.reading != reading.received_at {
            self.reading = reading.received_at;
            self.sent = 0;
        }
        self.sent += 1;
        self.in_flight += 1;
    }
}

/// Traffic of every member.
#[derive(Debug, Default)]
pub(super) struct Flows(SecondaryMap<MemberKey, Flow>);

impl Flows {
    pub(super) fn get(&self, key: MemberKey) -> Flow {
        self.0.get(key).copied().unwrap_or_default()
    }

    pub(super) fn sent(&mut self, key: MemberKey, reading: &LoadSample) {
        if let Some(flow) = self.open(key) {
            flow.sent(reading);
        }
    }

    pub(super) fn ended(&mut self, key: MemberKey) {
        if let Some(flow) = self.0.get_mut(key) {
            flow.in_flight = flow.in_flight.saturating_sub(1);
        }
    }

    pub(super) fn delayed(&mut self, key: MemberKey, round_trip: Duration) {
        if let Some(flow) = self.open(key) {
            flow.delay.add(round_trip);
        }
    }

    fn open(&mut self, key: MemberKey) -> Option<&mut Flow> {
        Some(self.0.entry(key)?.or_default())
    }
}
