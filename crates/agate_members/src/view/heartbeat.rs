//! Signs of life.

use agate_core::Moment;
use agate_wire::message::{Heartbeat, Load, Verdict};

use super::View;
use crate::member::Reading;
use crate::{MemberKey, Standing};

impl View {
    /// Takes over a heartbeat. One that arrives after a later one changes nothing; an agent counts
    /// its heartbeats from 1.
    pub fn heartbeat(&mut self, beat: &Heartbeat, now: Moment) -> Verdict {
        if self.gone.contains(beat.incarnation) {
            return Verdict::Lost;
        }
        let Some(key) = self.find(beat.incarnation) else {
            return Verdict::Unknown;
        };
        let Some(member) = self.members.get_mut(key) else {
            return Verdict::Unknown;
        };
        if beat.sequence <= member.sequence {
            return Verdict::Known;
        }
        member.sequence = beat.sequence;
        member.heard = now;
        self.read_load(key, beat.load, now);
        let leaving = beat.leaving;
        self.set_reasons(key, |reasons| {
            reasons.clear(Standing::Suspect);
            if leaving {
                reasons.raise(Standing::Leaving);
            }
        });
        Verdict::Known
    }

    /// Takes over the load that came with an answer.
    pub fn read_load(&mut self, key: MemberKey, load: Load, now: Moment) {
        self.reload(key, load);
        if let Some(member) = self.members.get_mut(key) {
            member.reading = Reading { load, at: now };
        }
    }
}
