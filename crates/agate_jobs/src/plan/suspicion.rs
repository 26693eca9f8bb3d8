//! Detection of failed workers by the silence of their agents.

use std::time::Duration;

use agate_core::Moment;

use crate::lease;
use crate::loss::LossReason;
use crate::plan::effect::Effect;
use crate::plan::scheduler::Scheduler;
use crate::record::{Record, Suspect, SuspicionRecord};
use crate::worker::{AgentState, StartBlock};

/// Silence after which a worker is suspected. Agents report every 800 ms.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_900);

/// Silence after which a worker without bound runs counts as forgotten and is no longer suspected.
const FORGET_AFTER: Duration = Duration::from_secs(30);

/// Most suspicions that a heartbeat lists, which keeps it below 40 KB when a zone is lost.
const MAX_LISTED_SUSPICIONS: usize = 400;

impl Scheduler {
    /// Raises, clears and settles suspicions. `reading_since` is the time since which the main
    /// stream has been read to its end without a gap.
    pub fn update_suspicions(&mut self, now: Moment, reading_since: Moment, lease: Duration) {
        for slot in 0..self.workers.len() {
            self.workers[slot].reading_since = reading_since;
            self.update_suspicion(slot, now, reading_since, lease);
        }
    }

    /// Records that a suspicion record has been stored. An open one starts the expiry of the worker's
    /// lease, unless the worker has restarted or the suspicion was settled since. Returns whether it
    /// is open.
    pub fn suspicion_recorded(&mut self, stored: &SuspicionRecord, now: Moment) -> bool {
        let Some(slot) = self.slots.get(&stored.incarnation.name).copied() else {
            return false;
        };
        let worker = &mut self.workers[slot];
        let is_open = stored.suspected && worker.suspicion == *stored;
        if is_open {
            worker.suspected_at.get_or_insert(now);
        }
        is_open
    }

    /// Returns the open suspicions whose record is stored, the oldest first, for the heartbeat.
    pub fn stored_suspicions(&self, now: Moment) -> Vec<Suspect> {
        let suspected = self
            .workers
            .iter()
            .filter(|worker| worker.suspicion.suspected);
        let mut stored: Vec<_> = suspected
            .filter_map(|worker| Some((worker.suspected_at?, &worker.suspicion)))
            .collect();
        stored.sort_by_key(|(at, _)| *at);
        let listed = stored.into_iter().take(MAX_LISTED_SUSPICIONS);
        listed
            .map(|(at, suspicion)| Suspect {
                incarnation: suspicion.incarnation.clone(),
                number: suspicion.number,
                age_ms: u64::try_from(now.since(at).as_millis()).unwrap_or(0),
            })
            .collect()
    }

    /// Drops the records of a worker that has left once no run is bound to it and none of its
    /// reports can still be recorded late.
    fn drop_records(&mut self, slot: usize, now: Moment) {
        let worker = &mut self.workers[slot];
        let settled = now.since(worker.last_contact) > FORGET_AFTER && !worker.has_runs();
        if worker.records_dropped || !settled {
            return;
        }
        worker.records_dropped = true;
        let name = worker.report.incarnation.name.clone();
        let report = Record::tombstone(format!("w/{name}"));
        self.effects.push(Effect::Main(report));
        self.effects
            .push(Effect::drop_order(&name, format!("s/{name}")));
    }

    fn update_suspicion(
        &mut self,
        slot: usize,
        now: Moment,
        reading_since: Moment,
        lease: Duration,
    ) {
        let worker = &mut self.workers[slot];
        if worker.is_gone() {
            self.drop_records(slot, now);
            return;
        }
        let suspicion = &mut worker.suspicion;
        // An agent that has stopped renews no lease, although it may still read the suspicion.
        let acknowledged = worker.report.incarnation == suspicion.incarnation
            && worker.report.agent != AgentState::Stopped
            && worker.report.acked_suspicion >= suspicion.number;
        if suspicion.suspected && acknowledged {
            suspicion.suspected = false;
            worker.suspected_at = None;
            self.effects.push(Effect::suspicion(suspicion.clone()));
            return;
        }
        if suspicion.suspected {
            let expiry_delay = lease::expiry_delay(lease);
            if worker
                .suspected_at
                .is_some_and(|at| now.since(at) > expiry_delay)
            {
                self.raise_term(slot);
                self.record_lost_runs(slot, LossReason::Silent);
            }
            return;
        }
        let current = worker.report.incarnation == suspicion.incarnation;
        let stopped = current && worker.report.agent == AgentState::Stopped;
        // Such an agent starts nothing and renews no lease for longer than that of its last read, but its
        // reports would keep unread orders waiting for as long as it can't read them.
        let unread = current && worker.report.start_block == Some(StartBlock::OrdersStale);
        let silent = stopped || now.since(worker.last_contact.max(reading_since)) > SUSPECT_AFTER;
        let forgotten = now.since(worker.last_contact) > FORGET_AFTER;
        let is_silent = silent && current && !forgotten;
        if is_silent || ((silent || unread) && self.has_runs_of_term(slot)) {
            let worker = &mut self.workers[slot];
            worker.suspicion.number += 1;
            worker.suspicion.suspected = true;
            worker.suspected_at = None;
            self.effects
                .push(Effect::suspicion(worker.suspicion.clone()));
        }
    }

    /// Returns whether any run of a worker's current incarnation and term is bound. The ends of
    /// earlier ones are being recorded.
    fn has_runs_of_term(&self, slot: usize) -> bool {
        let worker = &self.workers[slot];
        let current = &worker.suspicion.incarnation;
        let is_current = |term| term == (current.started_ms, current.term);
        let mut runs = worker
            .tasks
            .iter()
            .filter_map(|task| self.bindings.get(task));
        runs.any(|run| is_current(run.term))
    }
}
