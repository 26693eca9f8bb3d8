//! Delivery of orders about runs to agents.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{Incarnation, RunId};
use agate_records::{RunEnd, RunEnded};
use agate_super::ChildError;
use agate_telemetry::spans::Hop;
use agate_wire::message::{RunAction, RunActionReply, RunActionRequest, StartReply, StartRun};
use agate_wire::rpc::AgentRpcClient;
use tokio::sync::Semaphore;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::entry::Entry;

/// Maximum number of orders in flight.
const MAX_CONCURRENT_ORDERS: usize = 64;

/// Time limit of an order. A lost order is repeated at the next heartbeat that shows it is still
/// needed.
const ORDER_TIMEOUT: Duration = Duration::from_secs(5);

/// An instruction to an agent about a run. Orders are idempotent, so a lost one can be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Order {
    /// Start a run that is bound in the log.
    Start(RunId),
    /// Act on a bound run.
    Stop {
        /// The run.
        run: RunId,
        /// The incarnation that holds the run.
        incarnation: Incarnation,
        /// The action.
        kind: RunAction,
    },
}

/// Executes orders until `stop` is cancelled.
pub(crate) async fn dispatch(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut order_rx = entry.batch.order_rx.lock().await;
    let slots = Arc::new(Semaphore::new(MAX_CONCURRENT_ORDERS));
    while let Some(Some(order)) = stop.run_until_cancelled(order_rx.recv()).await {
        let open = OpenOrder {
            entry: Arc::clone(&entry),
            order,
        };
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            break;
        };
        tokio::spawn(async move {
            execute(&open.entry, open.order).await;
            drop((open, slot));
        });
    }
    Ok(())
}

/// An order taken from the queue. Dropping it, even after a panic, allows the same order to be
/// queued again.
#[derive(Debug)]
struct OpenOrder {
    entry: Arc<Entry>,
    order: Order,
}

impl Drop for OpenOrder {
    fn drop(&mut self) {
        self.entry.batch.complete_order(self.order);
    }
}

async fn execute(entry: &Entry, order: Order) {
    match order {
        Order::Start(run) => {
            start(entry, run).await;
        }
        Order::Stop {
            run,
            incarnation,
            kind,
        } => stop_run(entry, run, incarnation, kind).await,
    }
}

async fn start(entry: &Entry, run: RunId) {
    let mut span = entry.tracer.start(Hop::EntryPlace, None);
    span.note("run", run);
    let Some(message) = start_message(entry, run, span.context()) else {
        return;
    };
    let incarnation = message.incarnation;
    match call(entry, incarnation, async |client| {
        client.start(message).await
    })
    .await
    {
        Ok(StartReply::Started) => {
            log::info!(event = "run_started", run:%, incarnation:%; "");
            let now = entry.clock.now();
            entry
                .batch
                .with(|inner| inner.scheduler.started(now, run.task));
        }
        Ok(StartReply::Refused { reason }) => {
            log::info!(event = "run_refused", run:%, incarnation:%, reason; "");
            span.fail(&reason);
            record_refusal(entry, run, incarnation, reason).await;
        }
        Ok(StartReply::Gone) => {
            log::warn!(event = "run_holder_gone", run:%, incarnation:%; "");
            span.fail("gone");
        }
        Err(reason) => {
            log::warn!(event = "run_start_lost", run:%, incarnation:%, reason; "");
            span.fail(reason);
            let is_unstartable = entry
                .batch
                .without_wake(|inner| inner.is_unstartable(run, incarnation));
            if is_unstartable {
                let reason = "the agent has left".to_owned();
                record_refusal(entry, run, incarnation, reason).await;
            }
        }
    }
}

/// Builds the start message for a run, if the folded state still binds it.
fn start_message(entry: &Entry, run: RunId, trace: agate_core::TraceContext) -> Option<StartRun> {
    entry.folded.with(|state| {
        let task = state
            .task(run.task)
            .filter(|task| task.epoch == run.epoch)?;
        let binding = task.binding?;
        let submitted = state.submission(run.task.job)?;
        Some(StartRun {
            run,
            incarnation: binding.incarnation,
            bound: binding.position,
            class: submitted.class.clone(),
            tags: submitted.tags.clone(),
            team: submitted.team.clone(),
            demand: binding.demand,
            declared: submitted.declared,
            checkpoint: task.checkpoint,
            payload: submitted.payload.clone(),
            trace,
        })
    })
}

/// Records that a run never started. If the write fails, the agent refuses the next start as well.
async fn record_refusal(entry: &Entry, run: RunId, incarnation: Incarnation, reason: String) {
    let record = RunEnded {
        run,
        incarnation,
        end: RunEnd::NotStarted { reason },
        peak: agate_core::Resources::ZERO,
    };
    if let Err(error) = entry.commit().write_one(record).await {
        log::warn!(event = "refusal_not_recorded", run:%, cause:% = error; "");
    }
}

async fn stop_run(entry: &Entry, run: RunId, incarnation: Incarnation, kind: RunAction) {
    let message = RunActionRequest {
        run,
        incarnation,
        kind,
    };
    match call(entry, incarnation, async |client| {
        client.stop(message).await
    })
    .await
    {
        Ok(RunActionReply::NotStarted) => {
            let reason = format!("{kind} came before its start");
            record_refusal(entry, run, incarnation, reason).await;
        }
        Ok(reply @ (RunActionReply::Accepted | RunActionReply::Ended | RunActionReply::Gone)) => {
            log::info!(event = "run_stopped", run:%, incarnation:%, kind:%, reply:?; "");
        }
        Err(reason) => {
            log::warn!(event = "run_stop_lost", run:%, incarnation:%, kind:%, reason; "");
        }
    }
}

/// Calls a known agent with a time limit.
async fn call<T>(
    entry: &Entry,
    incarnation: Incarnation,
    work: impl AsyncFnOnce(&jsonrpsee::ws_client::WsClient) -> Result<T, jsonrpsee::core::ClientError>,
) -> Result<T, String> {
    let Some(target) = entry.members.target(incarnation) else {
        return Err("the agent is not known".to_owned());
    };
    let link = entry.link(incarnation, target.address);
    let called = timeout(ORDER_TIMEOUT, async {
        let client = link.client().await.map_err(|error| error.to_string())?;
        work(&client).await.map_err(|error| error.to_string())
    });
    called
        .await
        .unwrap_or_else(|_elapsed| Err("no answer in time".to_owned()))
}
