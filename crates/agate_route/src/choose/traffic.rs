//! Traffic between this entry and each member.

use std::time::Duration;

use agate_core::Moment;
use agate_members::{LoadSample, MemberKey};
use slotmap::SecondaryMap;

use crate::ewma::EwmaDuration;

/// Traffic between this entry and one member.
#[derive(Debug, Clone, Copy, Default)]
pub(super) struct Traffic {
    /// Requests sent and not answered yet.
    pub(super) in_flight: u32,
    /// Requests sent since the reading at `reading_at`.
    sent: u32,
    /// Time of the newest reading when the last request was sent.
    reading_at: Moment,
    /// Round-trip time of pings.
    pub(super) rtt: EwmaDuration,
}

impl Traffic {
    /// Returns the number of requests in flight that `reading` can't include.
    pub(super) fn unreported(&self, reading: &LoadSample) -> u32 {
        if self.reading_at == reading.received_at {
            self.sent.min(self.in_flight)
        } else {
            0
        }
    }

    pub(super) fn record_sent(&mut self, reading: &LoadSample) {
        if self.reading_at != reading.received_at {
            self.reading_at = reading.received_at;
            self.sent = 0;
        }
        self.sent += 1;
        self.in_flight += 1;
    }
}

/// Traffic with every member.
#[derive(Debug, Default)]
pub(super) struct TrafficTable(SecondaryMap<MemberKey, Traffic>);

impl TrafficTable {
    pub(super) fn get(&self, key: MemberKey) -> Traffic {
        self.0.get(key).copied().unwrap_or_default()
    }

    pub(super) fn record_sent(&mut self, key: MemberKey, reading: &LoadSample) {
        if let Some(traffic) = self.get_or_insert(key) {
            traffic.record_sent(reading);
        }
    }

    pub(super) fn record_end(&mut self, key: MemberKey) {
        if let Some(traffic) = self.0.get_mut(key) {
            traffic.in_flight = traffic.in_flight.saturating_sub(1);
        }
    }

    pub(super) fn record_round_trip(&mut self, key: MemberKey, round_trip: Duration) {
        if let Some(traffic) = self.get_or_insert(key) {
            traffic.rtt.add(round_trip);
        }
    }

    fn get_or_insert(&mut self, key: MemberKey) -> Option<&mut Traffic> {
        Some(self.0.entry(key)?.or_default())
    }
}
