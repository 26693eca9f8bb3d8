//! Registry of the workers that send heartbeats to this agent.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agate_jobs::{LossReason, RunEnd, WorkerState};
use agate_super::{Policy, Restart, Supervisor};
use futures::future::join_all;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use super::client::Heartbeat;
use super::crash::UnstableMachines;
use super::managed::ManagedWorker;
use super::zones::{self, ZoneWatch};
use super::{AgentContext, crash, execute, follow, renewal, report, shutdown};
use crate::clock;

/// A worker and the token that stops its tasks.
#[derive(Debug)]
struct RegisteredWorker {
    worker: Arc<ManagedWorker>,
    stop: CancellationToken,
}

/// The workers of this machine by name.
#[derive(Debug)]
pub struct WorkerRegistry {
    context: AgentContext,
    /// The withdrawn zones; `None` if the deployment has no withdrawal of zones.
    zones: Option<Arc<ZoneWatch>>,
    /// Stops the follower of the zones.
    stop: CancellationToken,
    workers: Mutex<HashMap<String, RegisteredWorker>>,
    unstable: Mutex<UnstableMachines>,
    /// Cancelled when the agent is told to stop.
    stopping: CancellationToken,
}

impl WorkerRegistry {
    /// Creates an empty registry, and follows the withdrawn zones if the settings ask for it.
    pub fn new(context: AgentContext) -> Self {
        let stop = CancellationToken::new();
        let watch = context.withdrawal.map(ZoneWatch::new).map(Arc::new);
        if let Some(watch) = &watch {
            follow_zones(&context, watch, &stop);
        }
        Self {
            context,
            zones: watch,
            stop,
            workers: Mutex::default(),
            unstable: Mutex::default(),
            stopping: CancellationToken::new(),
        }
    }

    /// Applies a heartbeat. One of an earlier incarnation is ignored.
    pub fn apply_heartbeat(&self, heartbeat: Heartbeat) {
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        let mut unstable = self.unstable.lock().unwrap_or_else(PoisonError::into_inner);
        let mut crash_ends = Vec::new();
        if let Some(registered) = workers.get(&heartbeat.name) {
            let mut state = registered.worker.state();
            if heartbeat.started_ms < state.incarnation.started_ms {
                log::info!(
                    event = "heartbeat_stale", worker = heartbeat.name.as_str(),
                    born = heartbeat.started_ms, known = state.incarnation.started_ms; ""
                );
                return;
            }
            if heartbeat.started_ms == state.incarnation.started_ms {
                if state.apply_heartbeat(heartbeat) {
                    state.reported_at = None;
                    log::info!(
                        event = "worker_changed", worker:% = state.incarnation,
                        state:% = state.status; ""
                    );
                    registered.worker.changed.notify_waiters();
                }
                return;
            }
            drop(state);
            crash_ends = crash::end_runs(&registered.worker, LossReason::Restarted, &mut unstable);
        }
        if has_successor(&workers, &heartbeat) {
            log::info!(
                event = "heartbeat_stale", worker = heartbeat.name.as_str(),
                born = heartbeat.started_ms, address:% = heartbeat.address; ""
            );
            return;
        }
        record_predecessors_gone(&workers, &heartbeat, &mut unstable);
        forget_departed(&mut workers, &heartbeat);
        let name = heartbeat.name.clone();
        let registered = self.register(heartbeat, crash_ends);
        if let Some(old) = workers.insert(name, registered) {
            old.stop.cancel();
        }
    }

    /// Returns the number of known workers.
    pub fn worker_count(&self) -> usize {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.len()
    }

    /// Marks a worker as gone.
    pub fn mark_gone(&self, name: &str) {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(registered) = workers.get(name) {
            record_gone(&registered.worker);
        }
    }

    /// Stops the agent within `limit`. The leader learns that it stops before the last orders are
    /// handled, and that it has stopped before this returns. The runs keep their leases for as long as
    /// allowed, so that the next agent can adopt them.
    pub async fn shut_down(&self, limit: Duration) {
        let until = Instant::now() + limit;
        self.stopping.cancel();
        for worker in self.managed_workers() {
            shutdown::announce(&worker);
        }
        sleep(shutdown::announce_time()).await;
        let workers = self.managed_workers();
        let finish = async {
            join_all(workers.iter().map(|w| shutdown::settle(w, until))).await;
            join_all(workers.iter().map(|w| shutdown::finish(w, until))).await;
        };
        if timeout_at(until, finish).await.is_err() {
            log::warn!(event = "stop_cut", limit_ms = clock::millis(limit); "the time is over");
        }
        self.detach_all();
    }

    fn managed_workers(&self) -> Vec<Arc<ManagedWorker>> {
        let workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        workers.values().map(|w| Arc::clone(&w.worker)).collect()
    }

    /// Stops all tasks of the agent without notifying them, as the end of the process does.
    pub fn detach_all(&self) {
        self.stop.cancel();
        let mut workers = self.workers.lock().unwrap_or_else(PoisonError::into_inner);
        for (_, registered) in workers.drain() {
            registered.stop.cancel();
        }
    }

    fn register(&self, heartbeat: Heartbeat, crash_ends: Vec<RunEnd>) -> RegisteredWorker {
        let worker = Arc::new(ManagedWorker::new(
            self.context.clone(),
            self.zones.clone(),
            heartbeat,
        ));
        worker.state().crash_ends = crash_ends;
        if self.stopping.is_cancelled() {
            shutdown::announce(&worker);
        }
        log_found(&worker);
        let stop = CancellationToken::new();
        let mut tree = Supervisor::new("worker", Policy::default());
        add(&mut tree, "orders", &worker, follow::orders);
        add(&mut tree, "hold", &worker, renewal::run);
        add(&mut tree, "carry", &worker, execute::run);
        add(&mut tree, "report", &worker, report::run);
        tokio::spawn(run(tree, stop.clone(), self.context.failed.clone()));
        RegisteredWorker { worker, stop }
    }
}

/// Marks workers of other names that started earlier at the address of `heartbeat` as gone. Calls
/// name the worker, so nothing meant for them can run any more. An earlier incarnation of the same
/// name is settled by its successor.
fn record_predecessors_gone(
    workers: &HashMap<String, RegisteredWorker>,
    heartbeat: &Heartbeat,
    unstable: &mut UnstableMachines,
) {
    for registered in workers.values() {
        let older = {
            let state = registered.worker.state();
            state.heartbeat.address == heartbeat.address
                && state.incarnation.name != heartbeat.name
                && state.incarnation.started_ms < heartbeat.started_ms
                && state.status != WorkerState::Gone
        };
        if older {
            let ends = crash::end_runs(&registered.worker, LossReason::Replaced, unstable);
            registered.worker.state().crash_ends.extend(ends);
            record_gone(&registered.worker);
        }
    }
}

/// Returns whether a worker that started later is known at the address of `heartbeat`, which has then
/// been delayed.
fn has_successor(workers: &HashMap<String, RegisteredWorker>, heartbeat: &Heartbeat) -> bool {
    workers.values().any(|registered| {
        let state = registered.worker.state();
        state.heartbeat.address == heartbeat.address
            && state.incarnation.started_ms > heartbeat.started_ms
    })
}

/// Stops the tasks of workers that have left the address of `heartbeat`, once that is recorded.
fn forget_departed(workers: &mut HashMap<String, RegisteredWorker>, heartbeat: &Heartbeat) {
    workers.retain(|_, registered| {
        let address = registered.worker.state().heartbeat.address;
        let departed = registered.worker.departed.is_cancelled() && address == heartbeat.address;
        if departed {
            registered.stop.cancel();
        }
        !departed
    });
}

fn log_found(worker: &ManagedWorker) {
    let state = worker.state();
    log::info!(
        event = "worker_found", worker:% = state.incarnation, state:% = state.status,
        service = state.heartbeat.service.as_str(), address:% = state.heartbeat.address; ""
    );
}

fn record_gone(worker: &ManagedWorker) {
    let mut state = worker.state();
    state.status = WorkerState::Gone;
    state.reported_at = None;
    log::info!(event = "worker_left", worker:% = state.incarnation; "");
    drop(state);
    worker.changed.notify_waiters();
}

/// Adds a task that is restarted after a failure.
fn add<F, Fut>(tree: &mut Supervisor, name: &'static str, worker: &Arc<ManagedWorker>, task: F)
where
    F: Fn(Arc<ManagedWorker>) -> Fut + Send + 'static,
    Fut: Future<Output = ()> + Send + 'static,
{
    let worker = Arc::clone(worker);
    tree.child(name, Restart::Transient, move |stop| {
        let task = task(Arc::clone(&worker));
        async move {
            stop.run_until_cancelled(task).await;
            Ok(())
        }
    });
}

fn follow_zones(context: &AgentContext, watch: &Arc<ZoneWatch>, stop: &CancellationToken) {
    let mut tree = Supervisor::new("zones", Policy::default());
    let (shared, watch) = (context.clone(), Arc::clone(watch));
    tree.child("zones", Restart::Transient, move |stop| {
        let task = zones::follow(shared.clone(), Arc::clone(&watch));
        async move {
            stop.run_until_cancelled(task).await;
            Ok(())
        }
    });
    tokio::spawn(run(tree, stop.clone(), context.failed.clone()));
}

async fn run(tree: Supervisor, stop: CancellationToken, failed: CancellationToken) {
    if let Err(escalation) = tree.run(stop).await {
        log::error!(event = "worker_tasks_failed", cause:% = escalation; "");
        failed.cancel();
    }
}
