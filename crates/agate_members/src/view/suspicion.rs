//! Failure detection of silent members.
//!
//! Heartbeats from the agent and traffic on the connection for requests are checked independently:
//! a connection can stay silent permanently while heartbeats still arrive over another one.

use std::time::Duration;

use agate_core::{Incarnation, Moment};

use super::View;
use crate::heartbeat_interval::suspicion_timeout;
use crate::{Member, MemberKey, MemberStatus};

/// Minimum time between two checks of a member.
const MIN_CHECK_INTERVAL: Duration = Duration::from_millis(1);

/// A change found by a sweep.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum MembershipChange {
    /// Heartbeats are missing, so the member gets no new work.
    Suspected(MemberKey),
    /// The connection is silent. The caller must dial a new one and query the outcome of the
    /// requests in flight.
    Condemned(MemberKey),
    /// The member was silent for longer than the forget timeout and was removed.
    Forgotten(Incarnation),
}

impl View {
    /// Records that a ping was sent on the connection to a member. Call this only for messages that
    /// the agent answers immediately; a request may legitimately take long.
    pub fn record_ping(&mut self, key: MemberKey, now: Moment) {
        let timeout = self.ping_timeout();
        let Some(member) = self.members.get_mut(key) else {
            return;
        };
        if member.ping_sent.is_some() {
            return;
        }
        member.ping_sent = Some(now);
        let next_check = now + timeout;
        if next_check < member.next_check {
            member.next_check = next_check;
            self.check_queue.push(next_check, key);
        }
    }

    /// Records that data was received on the connection to a member.
    pub fn record_receive(&mut self, key: MemberKey) {
        if let Some(member) = self.members.get_mut(key) {
            member.ping_sent = None;
        }
    }

    /// Excludes a member from new work because the connection to it is broken or silent.
    pub fn condemn(&mut self, key: MemberKey) {
        self.update_statuses(key, |statuses| statuses.set(MemberStatus::Condemned));
    }

    /// Clears the condemned status after a ping was answered on a new connection to the member.
    pub fn restore(&mut self, key: MemberKey) {
        self.record_receive(key);
        self.update_statuses(key, |statuses| statuses.clear(MemberStatus::Condemned));
    }

    /// Finds silent members. Call this at least once per heartbeat interval.
    ///
    /// A longer gap between two sweeps means that this process was paused. Silence during the gap
    /// does not count.
    pub fn sweep(&mut self, now: Moment) -> Vec<MembershipChange> {
        self.detect_pause(now);
        self.tombstones.prune(now);
        let mut changes = Vec::new();
        while let Some((at, key)) = self.check_queue.pop(now) {
            let current = self.members.get(key).is_some_and(|m| m.next_check == at);
            if current {
                self.check(key, now, &mut changes);
            }
        }
        changes
    }

    fn detect_pause(&mut self, now: Moment) {
        let interval = Duration::from_millis(u64::from(self.policy.heartbeat_ms));
        if now.since(self.last_sweep) > interval * 2 {
            self.resumed_at = now;
        }
        self.last_sweep = now;
    }

    fn check(&mut self, key: MemberKey, now: Moment, changes: &mut Vec<MembershipChange>) {
        let Some(member) = self.members.get(key) else {
            return;
        };
        if self.forget_at(member) <= now {
            let incarnation = member.info.incarnation;
            self.remove(key);
            changes.push(MembershipChange::Forgotten(incarnation));
            return;
        }
        let silent = self.suspect_at(member) <= now;
        let condemned = self.condemn_at(member).is_some_and(|at| at <= now);
        if silent && !member.statuses.has(MemberStatus::Suspect) {
            changes.push(MembershipChange::Suspected(key));
        }
        if condemned && !member.statuses.has(MemberStatus::Condemned) {
            changes.push(MembershipChange::Condemned(key));
        }
        self.update_statuses(key, |statuses| {
            if silent {
                statuses.set(MemberStatus::Suspect);
            }
            if condemned {
                statuses.set(MemberStatus::Condemned);
            }
        });
        self.schedule_check(key, now);
    }

    fn schedule_check(&mut self, key: MemberKey, now: Moment) {
        let Some(member) = self.members.get(key) else {
            return;
        };
        let heartbeat_check = if member.statuses.has(MemberStatus::Suspect) {
            self.forget_at(member)
        } else {
            self.suspect_at(member)
        };
        let ping_check = self.condemn_at(member).filter(|at| *at > now);
        let next_check = ping_check.map_or(heartbeat_check, |at| at.min(heartbeat_check));
        let next_check = next_check.max(now + MIN_CHECK_INTERVAL);
        self.members[key].next_check = next_check;
        self.check_queue.push(next_check, key);
    }

    fn suspect_at(&self, member: &Member) -> Moment {
        member.last_heartbeat.max(self.resumed_at) + suspicion_timeout(&self.policy, member.scope)
    }

    fn forget_at(&self, member: &Member) -> Moment {
        let forget_timeout = Duration::from_millis(u64::from(self.policy.forget_ms));
        member.last_heartbeat.max(self.resumed_at) + forget_timeout
    }

    fn condemn_at(&self, member: &Member) -> Option<Moment> {
        if member.statuses.has(MemberStatus::Condemned) {
            return None;
        }
        let ping_sent = member.ping_sent?;
        Some(ping_sent.max(self.resumed_at) + self.ping_timeout())
    }

    fn ping_timeout(&self) -> Duration {
        Duration::from_millis(u64::from(self.policy.silent_ms))
    }
}
