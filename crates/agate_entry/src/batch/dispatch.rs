//! Orders to agents about runs.

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

/// Orders under way at once.
const CONCURRENT: usize = 64;

/// Time after which an order counts as lost. The next heartbeat that shows the need repeats it.
const PATIENCE: Duration = Duration::from_secs(5);

/// Something that an agent is to do with a run. Orders are idempotent, so a lost one is repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Order {
    /// Start a run that the log has bound.
    Start(RunId),
    /// Act on a run.
    Stop {
        /// The run.
        run: RunId,
        /// Its holder.
        incarnation: Incarnation,
        /// What to do.
        kind: RunAction,
    },
}

/// Carries out orders until `stop` is cancelled.
pub(crate) async fn dispatch(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut inbox = entry.batch.inbox.lock().await;
    let slots = Arc::new(Semaphore::new(CONCURRENT));
    while let Some(Some(order)) = stop.run_until_cancelled(inbox.recv()).await {
        let taken = Taken {
            entry: Arc::clone(&entry),
            order,
        };
        let Ok(slot) = Arc::clone(&slots).acquire_owned().await else {
            break;
        };
        tokio::spawn(async move {
            carry_out(&taken.entry, taken.order).await;
            drop((taken, slot));
        });
    }
    Ok(())
}

/// An order that was taken from the queue. However its task ends, it can be given again after that.
#[derive(Debug)]
struct Taken {
    entry: Arc<Entry>,
    order: Order,
}

impl Drop for Taken {
    fn drop(&mut self) {
        self.entry.batch.close(self.order);
    }
}

async fn carry_out(entry: &Entry, order: Order) {
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
        }
    }
}

/// The message that starts a run, if the folded state still binds it.
fn start_message(entry: &Entry, run: RunId, trace: agate_core::TraceContext) -> Option<StartRun> {
    entry.folded.with(|state| {
        let task = state
            .task(run.task)
            .filter(|task| task.epoch == run.epoch)?;
        let hold = task.binding?;
        let submitted = state.submission(run.task.job)?;
        Some(StartRun {
            run,
            incarnation: hold.incarnation,
            bound: hold.position,
            class: submitted.class.clone(),
            tags: submitted.tags.clone(),
            team: submitted.team.clone(),
            demand: hold.demand,
            declared: submitted.declared,
            checkpoint: task.checkpoint,
            payload: submitted.payload.clone(),
            trace,
        })
    })
}

/// Records that a run never started. If that fails, the next start is refused again.
async fn record_refusal(entry: &Entry, run: RunId, incarnation: Incarnation, reason: String) {
    let record = RunEnded {
        run,
        incarnation,
        end: RunEnd::NotStarted { reason },
        peak: agate_core::Resources::ZERO,
    };
    if let Err(error) = entry.commit().one(record).await {
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

/// Calls an agent that is known.
async fn call<T>(
    entry: &Entry,
    incarnation: Incarnation,
    work: impl AsyncFnOnce(&jsonrpsee::ws_client::WsClient) -> Result<T, jsonrpsee::core::ClientError>,
) -> Result<T, String> {
    let Some(target) = entry.members.target(incarnation) else {
        return Err("the agent is not known".to_owned());
    };
    let link = entry.link(incarnation, target.address);
    let called = timeout(PATIENCE, async {
        let client = link.client().await.map_err(|error| error.to_string())?;
        work(&client).await.map_err(|error| error.to_string())
    });
    called
        .await
        .unwrap_or_else(|_elapsed| Err("no answer in time".to_owned()))
}
