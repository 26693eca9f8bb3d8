//! What the agents do once the faults are over.

use std::time::Duration;

use agate_jobs::{AgentState, EndCause, Order, OrderKind, WorkerState};

use super::{Cluster, REPORT_ROUNDS, ROUND, end_of, is_sibling};

/// Time that an agent takes for a stop, or for ending a member of a gang that is incomplete.
const STOP_TIME: Duration = Duration::from_millis(500);

impl Cluster {
    /// Lets machines recover: their workers and agents are there, answer and serve. Those whose bit is set
    /// in `lost` stay away.
    pub fn recover(&mut self, lost: u8) {
        for (at, machine) in self.machines.iter_mut().enumerate() {
            machine.lost = lost & (1 << at) != 0;
        }
        for at in self.recovered().collect::<Vec<_>>() {
            let machine = &mut self.machines[at];
            machine.agent = AgentState::Serving;
            machine.unreachable = false;
            if machine.state == WorkerState::Gone {
                self.restart(at, true);
            }
            self.machines[at].state = WorkerState::Ready;
            self.send_report(at);
        }
        self.read_orders();
    }

    /// Plays a round in which nothing fails.
    pub fn round(&mut self) {
        self.rounds += 1;
        if self.rounds.is_multiple_of(REPORT_ROUNDS) {
            for at in self.recovered().collect::<Vec<_>>() {
                self.send_report(at);
            }
        }
        self.carry_out();
        self.fleet.advance(ROUND);
        self.place(self.limit);
        self.read_orders();
    }

    /// Records the ends that are due of the orders that the agents carry out.
    fn carry_out(&mut self) {
        let now = self.now();
        let orders: Vec<(String, Order)> = self
            .orders
            .iter()
            .filter(|(_, order)| self.is_current(order) && !self.is_lost(order))
            .map(|(key, order)| (key.clone(), order.clone()))
            .collect();
        for (key, order) in orders {
            let stops = matches!(order.kind, OrderKind::Stop { .. });
            let since = *self.since.entry((key, order.run, stops)).or_insert(now);
            let Some((time, cause)) = self.end_after(&order) else {
                continue;
            };
            if now.since(since) >= time {
                let ran_ms = u64::try_from(time.as_millis()).unwrap_or(u64::MAX);
                self.fold(end_of(&order, (cause, ran_ms, None)));
            }
        }
    }

    /// Returns when a run ends by itself, and how.
    fn end_after(&self, order: &Order) -> Option<(Duration, EndCause)> {
        if matches!(order.kind, OrderKind::Stop { .. }) {
            return Some((STOP_TIME, EndCause::Stopped));
        }
        let step = self.fleet.table.job(order.task.job)?.step(order.task)?;
        let members = |other: &&Order| other.run == order.run && is_sibling(other.task, order.task);
        if step.gang && self.orders().filter(members).count() < step.tasks as usize {
            return Some((STOP_TIME, EndCause::Alone));
        }
        if step.long_running {
            return None;
        }
        let at = if step.gang { 0 } else { order.task.index };
        let at = order.task.job.0 + u64::from(order.task.step) + u64::from(at);
        let at = usize::try_from(at).unwrap_or(0) % self.run_times.len();
        let ms = self.run_times[at];
        (ms > 0).then(|| (Duration::from_millis(ms), EndCause::Done))
    }
}
