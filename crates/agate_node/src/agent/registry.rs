//! The workers that announce themselves to this agent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use agate_jobs::WorkerState;
use agate_super::{Policy, Restart, Supervisor};
use tokio_util::sync::CancellationToken;

use super::held::Held;
use super::port::Heartbeat;
use super::{AgentContext, carry, follow, hold, report};

/// A worker and the token that ends its tasks.
#[derive(Debug)]
struct RegisteredWorker {
    held: Arc<Held>,
    stop: CancellationToken,
}

/// The workers of this machine by name.
#[derive(Debug)]
pub struct WorkerRegistry {
    context: AgentContext,
    workers: Mutex<HashMap<String, RegisteredWorker>>,
}

impl WorkerRegistry {
    /// A register without workers.
    pub fn new(context: AgentContext) -> Self {
        Self {
            context,
            workers: Mutex::default(),
        }
    }

    /// Takes a heartbeat. One of an earlier incarnation changes nothing.
    pub fn apply_heartbeat(&self, beat: Heartbeat) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(registered) = workers.get(&beat.name) {
            let mut state = registered.held.state();
            if beat.born < state.life.born {
                log::info!(
                    event = "heartbeat_stale", worker = beat.name.as_str(), born = beat.born,
                    known = state.life.born; ""
                );
                return;
            }
            if beat.born == state.life.born {
                if state.take_beat(beat) {
                    state.reported = None;
                    log::info!(
                        event = "worker_changed", worker:% = state.life, state:% = state.duty; ""
                    );
                    registered.held.changed.notify_waiters();
                }
                return;
            }
        }
        retire_predecessors(&workers, &beat);
        let name = beat.name.clone();
        let registered = self.enlist(beat);
        if let Some(old) = workers.insert(name, registered) {
            old.stop.cancel();
        }
    }

    /// Takes note that a worker has left.
    pub fn mark_gone(&self, name: &str) {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(registered) = workers.get(name) {
            retire(&registered.held);
        }
    }

    /// Gives every worker the longest lease that the evidence allows, before the agent ends.
    pub async fn renew_leases(&self) {
        let held: Vec<Arc<Held>> = {
            let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
            workers.values().map(|w| Arc::clone(&w.held)).collect()
        };
        for held in held {
            hold::last(&held).await;
        }
    }

    /// Ends all work on the workers without a word to them, as the end of the process does.
    pub fn detach_all(&self) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, registered) in workers.drain() {
            registered.stop.cancel();
        }
    }

    fn enlist(&self, beat: Heartbeat) -> RegisteredWorker {
        let held = Arc::new(Held::new(self.context.clone(), beat));
        log_found(&held);
        let stop = CancellationToken::new();
        let mut tree = Supervisor::new("worker", Policy::default());
        add(&mut tree, "orders", &held, follow::orders);
        add(&mut tree, "hold", &held, hold::run);
        add(&mut tree, "carry", &held, carry::run);
        add(&mut tree, "report", &held, report::run);
        tokio::spawn(run(tree, stop.clone(), self.context.failed.clone()));
        RegisteredWorker { held, stop }
    }
}

/// Takes workers that started earlier at the address of `beat` as gone. Nothing meant for them can
/// run any more, as calls name the worker; one of the same name is settled by its new life.
fn retire_predecessors(workers: &HashMap<String, RegisteredWorker>, beat: &Heartbeat) {
    for registered in workers.values() {
        let older = {
            let state = registered.held.state();
            state.beat.address == beat.address
                && state.life.name != beat.name
                && state.life.born < beat.born
        };
        if older {
            retire(&registered.held);
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
    held.changed.notify_waiters();
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
