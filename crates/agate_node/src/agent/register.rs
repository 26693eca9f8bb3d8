//! The workers that announce themselves to this agent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use agate_jobs::WorkerState;
use agate_super::{Policy, Restart, Supervisor};
use tokio_util::sync::CancellationToken;

use super::held::Held;
use super::port::Heartbeat;
use super::{AgentParts, carry, follow, hold, report};

/// A worker and the token that ends its tasks.
#[derive(Debug)]
struct Listed {
    held: Arc<Held>,
    stop: CancellationToken,
}

/// The workers of this machine by name.
#[derive(Debug)]
pub struct Register {
    parts: AgentParts,
    workers: Mutex<HashMap<String, Listed>>,
}

impl Register {
    /// A register without workers.
    pub fn new(parts: AgentParts) -> Self {
        Self {
            parts,
            workers: Mutex::default(),
        }
    }

    /// Takes a heartbeat. One of an earlier incarnation changes nothing.
    pub fn beat(&self, beat: Heartbeat) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(listed) = workers.get(&beat.name) {
            let mut state = listed.held.state();
            if beat.born < state.life.started_ms {
                log::info!(
                    event = "heartbeat_stale", worker = beat.name.as_str(), born = beat.born,
                    known = state.life.started_ms; ""
                );
                return;
            }
            if beat.born == state.life.started_ms {
                if state.take_beat(beat) {
                    state.reported = None;
                    log::info!(
                        event = "worker_changed", worker:% = state.life, state:% = state.duty; ""
                    );
                    listed.held.news.notify_waiters();
                }
                return;
            }
        }
        retire_predecessors(&workers, &beat);
        let name = beat.name.clone();
        let listed = self.enlist(beat);
        if let Some(old) = workers.insert(name, listed) {
            old.stop.cancel();
        }
    }

    /// Takes note that a worker has left.
    pub fn leave(&self, name: &str) {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(listed) = workers.get(name) {
            retire(&listed.held);
        }
    }

    /// Gives every worker the longest lease that the evidence allows, before the agent ends.
    pub async fn last_holds(&self) {
        let held: Vec<Arc<Held>> = {
            let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
            workers.values().map(|w| Arc::clone(&w.held)).collect()
        };
        for held in held {
            hold::last(&held).await;
        }
    }

    /// Ends all work on the workers without a word to them, as the end of the process does.
    pub fn leave_all(&self) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, listed) in workers.drain() {
            listed.stop.cancel();
        }
    }

    fn enlist(&self, beat: Heartbeat) -> Listed {
        let held = Arc::new(Held::new(self.parts.clone(), beat));
        log_found(&held);
        let stop = CancellationToken::new();
        let mut tree = Supervisor::new("worker", Policy::default());
        add(&mut tree, "orders", &held, follow::orders);
        add(&mut tree, "hold", &held, hold::run);
        add(&mut tree, "carry", &held, carry::run);
        add(&mut tree, "report", &held, report::run);
        tokio::spawn(run(tree, stop.clone(), self.parts.failed.clone()));
        Listed { held, stop }
    }
}

/// Takes workers that started earlier at the address of `beat` as gone. Nothing meant for them can
/// run any more, as calls name the worker; one of the same name is settled by its new life.
fn retire_predecessors(workers: &HashMap<String, Listed>, beat: &Heartbeat) {
    for listed in workers.values() {
        let older = {
            let state = listed.held.state();
            state.beat.address == beat.address
                && state.life.name != beat.name
                && state.life.started_ms < beat.born
        };
        if older {
            retire(&listed.held);
        }
    }
}

fn log_found(held: &Held) {
    let state = held.state();
    log::info!(
        event = "worker_found", worker:% = state.life, state:% = state.duty,
        service = state.beat.service.as_str(), address = state.beat.address.as_str(); ""
    );
}

fn retire(held: &Held) {
    let mut state = held.state();
    state.duty = WorkerState::Gone;
    state.reported = None;
    log::info!(event = "worker_left", worker:% = state.life; "");
    drop(state);
    held.news.notify_waiters();
}

/// Adds a task that is started again after a failure.
fn add<F, Fut>(tree: &mut Supervisor, name: &'static str, held: &Arc<Held>, task: F)
where
    F: Fn(Arc<Held>) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let held = Arc::clone(held);
    tree.child(name, Restart::Transient, move |stop| {
        let task = task(Arc::clone(&held));
        async move {
            stop.run_until_cancelled(task).await;
            Ok(())
        }
    });
}

async fn run(tree: Supervisor, stop: CancellationToken, failed: CancellationToken) {
    if let Err(escalation) = tree.run(stop).await {
        log::error!(event = "worker_tasks_failed", cause:% = escalation; "");
        failed.cancel();
    }
}
