//! Registry of the workers that send heartbeats to this agent.

use std::collections::HashMap;
use std::fmt::Display;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_jobs::{LossReason, RunEnd, WorkerState};
use agate_super::{Policy, Restart, Supervisor};
use futures::future::join_all;
use tokio::time::{Instant, sleep, timeout_at};
use tokio_util::sync::CancellationToken;

use super::claims::{Claim, Evidence, PendingClaims, Verdict};
use super::client::Heartbeat;
use super::crash::UnstableMachines;
use super::doubts::{Doubt, Doubts};
use super::managed::ManagedWorker;
use super::resend::LateStarts;
use super::zones::{self, ZoneWatch};
use super::{AgentContext, crash, execute, follow, renewal, report, shutdown};
use crate::clock;

/// Maximum number of workers. Each one costs reads of its orders.
const MAX_WORKERS: usize = 256;

/// Largest number of a heartbeat that a worker sends as it starts. It sends less than one a millisecond.
const MAX_FIRST_NUMBER: u64 = 1_000;

/// A worker and the token that stops its tasks.
#[derive(Debug)]
struct RegisteredWorker {
    worker: Arc<ManagedWorker>,
    stop: CancellationToken,
}

/// The workers of this machine by name.
#[derive(Debug)]
pub struct WorkerRegistry(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    context: AgentContext,
    /// The withdrawn zones; `None` if the deployment has no withdrawal of zones.
    zones: Option<Arc<ZoneWatch>>,
    /// Stops the loads of the zones and the checks of claims.
    stop: CancellationToken,
    book: Mutex<Book>,
    doubts: Arc<Doubts>,
    /// Cancelled when the agent is told to stop.
    stopping: CancellationToken,
}

/// The workers that have answered, and the claims that are being checked.
#[derive(Debug, Default)]
struct Book {
    workers: HashMap<String, RegisteredWorker>,
    claims: PendingClaims,
    unstable: UnstableMachines,
}

impl WorkerRegistry {
    /// Creates an empty registry, and loads the withdrawn zones if the settings ask for it.
    pub fn new(context: AgentContext) -> Self {
        let stop = CancellationToken::new();
        let watch = context.withdrawal.map(ZoneWatch::new).map(Arc::new);
        if let Some(watch) = &watch {
            keep_zones_loaded(&context, watch, &stop);
        }
        Self(Arc::new(Shared {
            context,
            zones: watch,
            stop,
            book: Mutex::default(),
            doubts: Arc::default(),
            stopping: CancellationToken::new(),
        }))
    }

    /// Applies a heartbeat of a known incarnation. Any other one is a claim: the worker is registered
    /// once it has confirmed it.
    pub fn apply_heartbeat(&self, heartbeat: Heartbeat) {
        let mut book = self.0.book();
        let Some(heartbeat) = self.0.apply_known(&book, heartbeat) else {
            return;
        };
        let claim = Claim::of(&heartbeat);
        let Some(displaced) = book.claims.add(heartbeat) else {
            return;
        };
        drop(book);
        let shared = Arc::clone(&self.0);
        tokio::spawn(async move {
            let client = (shared.context.dial)(claim.address);
            let check = displaced.run_until_cancelled(claim.check(&client)).await;
            match check {
                Some(verdict) => shared.settle(&claim, verdict),
                None => shared.reject(Doubt::Unanswered, &claim.name, &claim.address),
            }
        });
    }

    /// Counts a rejected message about the worker called `name`, and logs it unless one of its kind has
    /// just been logged.
    pub fn reject(&self, doubt: Doubt, name: &str, detail: &dyn Display) {
        self.0.reject(doubt, name, detail);
    }

    /// Returns the number of known workers.
    pub fn worker_count(&self) -> usize {
        self.0.book().workers.len()
    }

    /// Handles the message that a worker has left. It is recorded as gone once its address refuses a
    /// call.
    pub fn mark_gone(&self, name: &str) {
        if let Some(registered) = self.0.book().workers.get(name) {
            registered.worker.state().departure = Some(clock::boottime());
        }
    }

    /// Stops the agent within `limit`. The leader learns that it stops before the last orders are
    /// handled, and that it has stopped before this returns. The runs keep their leases for as long as
    /// allowed, so that the next agent can adopt them.
    pub async fn shut_down(&self, limit: Duration) {
        let until = Instant::now() + limit;
        self.0.stopping.cancel();
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
        let book = self.0.book();
        let workers = book.workers.values();
        workers.map(|w| Arc::clone(&w.worker)).collect()
    }

    /// Stops all tasks of the agent without notifying them, as the end of the process does.
    pub fn detach_all(&self) {
        self.0.stop.cancel();
        let mut book = self.0.book();
        book.claims.clear();
        for (_, registered) in book.workers.drain() {
            registered.stop.cancel();
        }
    }
}

impl Shared {
    fn book(&self) -> MutexGuard<'_, Book> {
        self.book.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reject(&self, doubt: Doubt, name: &str, detail: &dyn Display) {
        self.doubts
            .record(&self.context.metrics, doubt, name, detail);
    }

    /// Applies a heartbeat of a known incarnation or of an earlier one, which is ignored. Returns any
    /// other one.
    fn apply_known(&self, book: &Book, heartbeat: Heartbeat) -> Option<Heartbeat> {
        let Some(registered) = book.workers.get(&heartbeat.name) else {
            return Some(heartbeat);
        };
        let mut state = registered.worker.state();
        let known = state.incarnation.started_ms;
        if heartbeat.started_ms > known {
            return Some(heartbeat);
        }
        if heartbeat.started_ms < known {
            self.reject(
                Doubt::EarlierIncarnation,
                &heartbeat.name,
                &state.incarnation,
            );
            return None;
        }
        let number = heartbeat.sequence;
        match state.apply_heartbeat(heartbeat) {
            Ok(true) => {
                state.reported_at = None;
                log::info!(
                    event = "worker_changed", worker:% = state.incarnation,
                    state:% = state.status; ""
                );
                registered.worker.changed.notify_waiters();
            }
            Ok(false) => {}
            Err(doubt) => self.reject(doubt, &state.incarnation.name, &number),
        }
        None
    }

    /// Registers the worker of a claim that is confirmed, and rejects any other claim.
    fn settle(&self, claim: &Claim, verdict: Verdict) {
        let mut book = self.book();
        let Some(heartbeat) = book.claims.take(claim) else {
            return;
        };
        let outcome = match verdict {
            Verdict::Confirmed(evidence) => self.adopt(&mut book, heartbeat, evidence),
            Verdict::Refuted => Err(Doubt::Refuted),
            Verdict::Unanswered => Err(Doubt::Unanswered),
        };
        if let Err(doubt) = outcome {
            self.reject(doubt, &claim.name, &claim.address);
        }
    }

    fn adopt(
        &self,
        book: &mut Book,
        heartbeat: Heartbeat,
        evidence: Evidence,
    ) -> Result<(), Doubt> {
        if self.stop.is_cancelled() {
            return Ok(());
        }
        let Some(heartbeat) = self.apply_known(book, heartbeat) else {
            return Ok(());
        };
        if heartbeat.sequence > MAX_FIRST_NUMBER.saturating_add(evidence.worker_ms) {
            return Err(Doubt::OutOfSequence);
        }
        if is_contradicted(&book.workers, &heartbeat, evidence) {
            return Err(Doubt::Refuted);
        }
        let Book {
            workers, unstable, ..
        } = book;
        let started_at = evidence.started_at();
        let known = workers.get(&heartbeat.name);
        let crash_ends = known
            .map(|known| {
                crash::end_runs(&known.worker, LossReason::Restarted, started_at, unstable)
            })
            .unwrap_or_default();
        let late_starts = known
            .map(|known| known.worker.state().late_starts.clone())
            .unwrap_or_default();
        record_predecessors_gone(workers, &heartbeat, started_at, unstable);
        forget_departed(workers, &heartbeat);
        if workers.len() >= MAX_WORKERS && !workers.contains_key(&heartbeat.name) {
            return Err(Doubt::TooManyWorkers);
        }
        let name = heartbeat.name.clone();
        let registered = self.register(heartbeat, crash_ends, late_starts);
        if let Some(old) = workers.insert(name, registered) {
            old.stop.cancel();
        }
        Ok(())
    }

    fn register(
        &self,
        heartbeat: Heartbeat,
        crash_ends: Vec<RunEnd>,
        late_starts: LateStarts,
    ) -> RegisteredWorker {
        let worker = Arc::new(ManagedWorker::new(
            self.context.clone(),
            Arc::clone(&self.doubts),
            self.zones.clone(),
            heartbeat,
            late_starts,
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

/// Returns whether a known worker has answered since the claim of `heartbeat` was checked, so that the
/// answer to the check came late. An answer without a start can't tell the incarnations of a worker
/// apart; its clock starts anew with each of them.
fn is_contradicted(
    workers: &HashMap<String, RegisteredWorker>,
    heartbeat: &Heartbeat,
    evidence: Evidence,
) -> bool {
    workers.values().any(|registered| {
        let state = registered.worker.state();
        let same_name = state.incarnation.name == heartbeat.name;
        let same_address = state.heartbeat.address == heartbeat.address;
        let clock = state.clock.filter(|_| same_name && !evidence.names_start);
        let is_same_life = clock.is_some_and(|clock| evidence.worker_ms >= clock.worker_ms);
        let has_answered = state.contact.answered_since(evidence.asked_at);
        (same_name || same_address) && (has_answered || is_same_life)
    })
}

/// Marks workers of other names at the address of `heartbeat` as gone. The worker there rejects calls
/// that name them, so nothing meant for them can run any more. An earlier incarnation of the same name is
/// settled by its successor.
fn record_predecessors_gone(
    workers: &HashMap<String, RegisteredWorker>,
    heartbeat: &Heartbeat,
    started_at: Instant,
    unstable: &mut UnstableMachines,
) {
    for registered in workers.values() {
        let older = {
            let state = registered.worker.state();
            state.heartbeat.address == heartbeat.address
                && state.incarnation.name != heartbeat.name
                && state.status != WorkerState::Gone
        };
        if older {
            let ends = crash::end_runs(
                &registered.worker,
                LossReason::Replaced,
                started_at,
                unstable,
            );
            registered.worker.state().crash_ends.extend(ends);
            let mut state = registered.worker.state();
            registered.worker.record_gone(&mut state);
        }
    }
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

fn keep_zones_loaded(context: &AgentContext, watch: &Arc<ZoneWatch>, stop: &CancellationToken) {
    let mut tree = Supervisor::new("zones", Policy::default());
    let (shared, watch) = (context.clone(), Arc::clone(watch));
    tree.child("zones", Restart::Transient, move |stop| {
        let task = zones::keep_loaded(shared.clone(), Arc::clone(&watch));
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
