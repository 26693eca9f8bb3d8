//! Members that fall silent.
//!
//! Two things are watched apart from each other: heartbeats, which an agent sends by itself, and
//! progress on the connection that requests travel on. A connection can go silent for good while
//! heartbeats still arrive over another one.

use std::time::Duration;

use agate_core::{Incarnation, Moment};

use super::View;
use crate::pace::suspect_after;
use crate::{Member, MemberKey, Standing};

/// The least time between two looks at one member.
const MIN_LOOK: Duration = Duration::from_millis(1);

/// What a sweep found.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Heartbeats are missing; the member gets no new work.
    Suspected(MemberKey),
    /// The connection has gone silent: dial a new one, and ask the fate of what was in flight.
    Condemned(MemberKey),
    /// The member was silent for so long that it is dropped.
    Forgotten(Incarnation),
}

impl View {
    /// Notes that a ping was sent on the connection to a member. Only messages that the agent
    /// answers at once count; a request may rightly take long.
    pub fn asked(&mut self, key: MemberKey, now: Moment) {
        let limit = self.silent_limit();
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if member.asked.is_some() {
            return;
        }
        member.asked = Some(now);
        let due = now + limit;
        if due < member.due {
            member.due = due;
            self.due.push(due, key);
        }
    }

    /// Notes that something arrived on the connection to a member.
    pub fn progress(&mut self, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.asked = None;
        }
    }

    /// Takes a member out of new work because the connection to it is broken or silent.
    pub fn condemn(&mut self, key: MemberKey) {
        self.set_reasons(key, |reasons| reasons.raise(Standing::Condemned));
    }

    /// Notes that a new connection to a member has answered a ping.
    pub fn restored(&mut self, key: MemberKey) {
        self.progress(key);
        self.set_reasons(key, |reasons| reasons.clear(Standing::Condemned));
    }

    /// Finds the members that fell silent. Call it at least once in each heartbeat interval.
    ///
    /// A gap between two sweeps means that this process did not run; silence during the gap is
    /// not held against anyone.
    pub fn sweep(&mut self, now: Moment) -> Vec<Change> {
        self.excuse_gap(now);
        self.gone.prune(now);
        let mut changes = Vec::new();
        while let Some((at, key)) = self.due.pop(now) {
            let current = self.members.get(key).is_some_and(|m| m.due == at);
            if current {
                self.look(key, now, &mut changes);
            }
        }
        changes
    }

    fn excuse_gap(&mut self, now: Moment) {
        let interval = Duration::from_millis(u64::from(self.policy.heartbeat_ms));
        if now.since(self.swept) > interval * 2 {
            self.excused = now;
        }
        self.swept = now;
    }

    fn look(&mut self, key: MemberKey, now: Moment, changes: &mut Vec<Change>) {
        let Some(member) = self.members.get(key) else {
            return;
        };
        if self.forget_at(member) <= now {
            let incarnation = member.info.incarnation;
            self.remove(key);
            changes.push(Change::Forgotten(incarnation));
            return;
        }
        let silent = self.suspect_at(member) <= now;
        let condemned = self.condemn_at(member).is_some_and(|at| at <= now);
        if silent && !member.reasons.has(Standing::Suspect) {
            changes.push(Change::Suspected(key));
        }
        if condemned && !member.reasons.has(Standing::Condemned) {
            changes.push(Change::Condemned(key));
        }
        self.set_reasons(key, |reasons| {
            if silent {
                reasons.raise(Standing::Suspect);
            }
            if condemned {
                reasons.raise(Standing::Condemned);
            }
        });
        self.look_again(key, now);
    }

    fn look_again(&mut self, key: MemberKey, now: Moment) {
        let Some(member) = self.members.get(key) else {
            return;
        };
        let silence = if member.reasons.has(Standing::Suspect) {
            self.forget_at(member)
        } else {
            self.suspect_at(member)
        };
        let condemn = self.condemn_at(member).filter(|at| *at > now);
        let due = condemn.map_or(silence, |at| at.min(silence));
        let due = due.max(now + MIN_LOOK);
        self.members[key].due = due;
        self.due.push(due, key);
    }

    fn suspect_at(&self, member: &Member) -> Moment {
        member.heard.max(self.excused) + suspect_after(&self.policy, member.scope)
    }

    fn forget_at(&self, member: &Member) -> Moment {
        let patience = Duration::from_millis(u64::from(self.policy.forget_ms));
        member.heard.max(self.excused) + patience
    }

    fn condemn_at(&self, member: &Member) -> Option<Moment> {
        if member.reasons.has(Standing::Condemned) {
            return None;
        }
        let asked = member.asked?;
        Some(asked.max(self.excused) + self.silent_limit())
    }

    fn silent_limit(&self) -> Duration {
        Duration::from_millis(u64::from(self.policy.silent_ms))
    }
}
