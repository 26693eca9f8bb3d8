//! Task placement: binds proposals of the scheduler in the log and orders steps against runs.

use std::sync::Arc;
use std::time::Duration;

use agate_core::RunId;
use agate_place::{Placement, Step, StepKind};
use agate_records::RunBound;
use agate_state::{Effect, RejectReason};
use agate_super::ChildError;
use agate_wire::message::RunAction;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Semaphore;
use tokio::time::{sleep, timeout};
use tokio_util::sync::CancellationToken;

use super::dispatch::Order;
use super::ownership::{self, Ownership};
use super::{give_up, reconcile};
use crate::entry::Entry;
use crate::ledger::CommitError;

/// Maximum number of bindings in flight.
const MAX_CONCURRENT_BINDINGS: usize = 256;

/// Longest interval between placement rounds.
const MAX_INTERVAL: Duration = Duration::from_millis(250);

/// Age of the state above which no task is placed.
const MAX_STATE_AGE: Duration = Duration::from_secs(3);

/// Places tasks until `stop` is cancelled.
pub(crate) async fn place(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_BINDINGS));
    let mut rng = StdRng::from_os_rng();
    loop {
        if is_fresh(&entry) && !entry.drain.leaving.is_cancelled() {
            place_all(&entry, &slots, &mut rng);
            give_up::record_all(&entry);
            order_steps(&entry);
        }
        reconcile::set_view(&entry);
        let wait = timeout(MAX_INTERVAL, entry.batch.changed());
        if stop.run_until_cancelled(wait).await.is_none() {
            return Ok(());
        }
    }
}

fn is_fresh(entry: &Entry) -> bool {
    entry.folded.age().is_some_and(|age| age <= MAX_STATE_AGE)
}

/// Binds the scheduler's proposals while fewer than the maximum are in flight.
fn place_all(entry: &Arc<Entry>, slots: &Arc<Semaphore>, rng: &mut StdRng) {
    while let Ok(slot) = Arc::clone(slots).try_acquire_owned() {
        let now = entry.clock.now();
        let next = entry
            .batch
            .without_wake(|inner| inner.scheduler.next(now, rng));
        let Some(placement) = next else {
            return;
        };
        let entry = Arc::clone(entry);
        tokio::spawn(async move {
            bind(&entry, placement).await;
            drop(slot);
        });
    }
}

/// Binds a run in the log. If the binding took effect, the fold has already ordered its start.
async fn bind(entry: &Entry, placement: Placement) {
    let epoch = entry.folded.with(|state| {
        let task = state.task(placement.task)?;
        task.binding.is_none().then_some(task.epoch)
    });
    let Some(last) = epoch else {
        return release_placement(entry, placement, None);
    };
    let run = RunId {
        task: placement.task,
        epoch: last.saturating_add(1),
    };
    let record = RunBound {
        run,
        incarnation: placement.worker,
        demand: placement.demand,
    };
    match entry.commit().write_one(record).await {
        Ok(Effect::Applied(_) | Effect::Duplicate) => {
            log::info!(event = "run_bound", run:%, incarnation:% = placement.worker; "");
        }
        Ok(Effect::Rejected(reason)) => {
            log::info!(event = "binding_void", run:%, reason:%; "");
            release_placement(entry, placement, Some(&reason));
        }
        Err(CommitError::NotRecorded { retry_after }) => {
            sleep(retry_after).await;
            release_placement(entry, placement, None);
        }
        Err(CommitError::Unknown) => {
            log::warn!(event = "binding_unknown", run:%; "");
            release_after_outage(entry, placement, run).await;
        }
    }
}

/// Releases the capacity of a placement unless the task is bound as placed.
fn release_placement(entry: &Entry, placement: Placement, reason: Option<&RejectReason>) {
    let now = entry.clock.now();
    let job = placement.task.job;
    entry.folded.with(|state| {
        entry.batch.with(|inner| {
            let bound = state.task(placement.task).and_then(|task| task.binding);
            if bound.is_some_and(|binding| binding.incarnation == placement.worker) {
                return;
            }
            if inner.scheduler.worker_of(placement.task) == Some(placement.worker) {
                inner.scheduler.refused(now, placement.task, None);
            }
            let may_have_ended = matches!(
                reason,
                None | Some(
                    RejectReason::TaskEnded
                        | RejectReason::NoSuchJob
                        | RejectReason::NoSuchTask
                        | RejectReason::JobCancelled
                )
            );
            let open = state.task(placement.task).is_some();
            if may_have_ended && !open {
                ownership::requeue(entry, state, inner, job);
            }
        });
    });
}

/// Waits until the log can be read to its end again, by which time a recorded binding has been
/// folded, then releases the placement.
async fn release_after_outage(entry: &Entry, placement: Placement, run: RunId) {
    while !is_fresh(entry) {
        sleep(MAX_STATE_AGE).await;
    }
    sleep(MAX_STATE_AGE).await;
    log::info!(event = "binding_settled", run:%; "");
    release_placement(entry, placement, None);
}

/// Orders the steps that are due against runs on the workers that this entry is responsible for.
fn order_steps(entry: &Entry) {
    let now = entry.clock.now();
    let steps = entry.batch.without_wake(|inner| inner.scheduler.steps(now));
    if steps.is_empty() {
        return;
    }
    let ownership = Ownership::of(entry);
    for step in steps
        .into_iter()
        .filter(|s| ownership.owns_worker(s.worker))
    {
        if let Some(order) = order_for(entry, step) {
            log::info!(event = "step", task:% = step.task, incarnation:% = step.worker, kind:% = step.kind; "");
            entry.batch.enqueue_order(order);
        }
    }
}

fn order_for(entry: &Entry, step: Step) -> Option<Order> {
    let task = entry.folded.with(|state| state.task(step.task))?;
    let binding = task.binding?;
    let kind = match step.kind {
        StepKind::Throttle => RunAction::Throttle,
        StepKind::Release => RunAction::Release,
        StepKind::Evict => RunAction::Evict,
        StepKind::Stop => RunAction::Stop,
    };
    Some(Order::Stop {
        run: RunId {
            task: step.task,
            epoch: task.epoch,
        },
        incarnation: binding.incarnation,
        kind,
    })
}
