//! Heartbeats and load reports.

use agate_core::Moment;
use agate_wire::message::{Heartbeat, Load, Verdict};

use super::View;
use crate::member::LoadSample;
use crate::{MemberKey, MemberStatus};

impl View {
    /// Records a heartbeat. Out-of-order heartbeats are ignored; sequence numbers start at 1.
    ///
    /// A sequence number is dropped once several heartbeats in order contradict it, so that a single
    /// number that is far too large doesn't hide all later heartbeats.
    pub fn record_heartbeat(&mut self, beat: &Heartbeat, now: Moment) -> Verdict {
        if self.tombstones.contains(beat.incarnation) {
            return Verdict::Lost;
        }
        let Some(key) = self.find(beat.incarnation) else {
            return Verdict::Unknown;
        };
        let Some(member) = self.members.get_mut(key) else {
            return Verdict::Unknown;
        };
        if beat.sequence <= member.sequence && !member.contradictions.record(beat.sequence) {
            return Verdict::Known;
        }
        member.contradictions.clear();
        member.sequence = beat.sequence;
        member.last_heartbeat = now;
        self.update_load(key, beat.load, now);
        let leaving = beat.leaving;
        self.update_statuses(key, |statuses| {
            statuses.clear(MemberStatus::Suspect);
            if leaving {
                statuses.set(MemberStatus::Leaving);
            }
        });
        Verdict::Known
    }

    /// Records the load reported in a reply.
    pub fn update_load(&mut self, key: MemberKey, load: Load, now: Moment) {
        self.replace_load(key, load);
        if let Some(member) = self.members.get_mut(key) {
            member.load_sample = LoadSample {
                load,
                received_at: now,
            };
        }
    }
}
