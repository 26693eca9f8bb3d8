//! Giving up workers whose agents are silent.

use std::time::Duration;

use agate_core::Moment;

use crate::lease;
use crate::plan::effect::Effect;
use crate::plan::scheduler::Scheduler;
use crate::record::Record;
use crate::worker::WorkerState;

/// Silence after which a worker's agent is suspected. Agents report every 800 ms.
pub const SUSPECT_AFTER: Duration = Duration::from_millis(1_900);

/// Silence after which a worker that nothing is bound to is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);

impl Scheduler {
    /// Raises, clears and settles suspicions. `reading_since` is the start of the current stretch
    /// in which the main stream was read to its end without a gap.
    pub fn update_suspicions(&mut self, now: Moment, reading_since: Moment, lease: Duration) {
        for slot in 0..self.workers.len() {
            self.update_suspicion(slot, now, reading_since, lease);
        }
    }

    /// Takes note that the standing of a worker with this suspicion is on record.
    pub fn suspicion_recorded(&mut self, worker: &str, number: u64, now: Moment) {
        let Some(slot) = self.slots.get(worker).copied() else {
            return;
        };
        let worker = &mut self.workers[slot];
        if worker.suspicion.suspected && worker.suspicion.number == number {
            worker.suspected_at.get_or_insert(now);
        }
    }

    /// Drops the records of a worker that has left, once nothing is bound to it any more.
    fn forget(&mut self, slot: usize) {
        let worker = &mut self.workers[slot];
        if worker.forgotten || !worker.steps.is_empty() {
            return;
        }
        worker.forgotten = true;
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
        if worker.report.state == WorkerState::Gone {
            self.forget(slot);
            return;
        }
        let suspicion = &mut worker.suspicion;
        let answered = worker.report.incarnation == suspicion.incarnation
            && worker.report.acked_suspicion >= suspicion.number;
        if suspicion.suspected && answered {
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
                self.lose(slot);
            }
            return;
        }
        let silent = now.since(worker.last_contact.max(reading_since)) > SUSPECT_AFTER;
        let forgotten = now.since(worker.last_contact) > FORGET_AFTER;
        let current = worker.report.incarnation == suspicion.incarnation;
        if silent && current && !forgotten {
            suspicion.number += 1;
            suspicion.suspected = true;
            worker.suspected_at = None;
            self.effects.push(Effect::suspicion(suspicion.clone()));
        }
    }
}
