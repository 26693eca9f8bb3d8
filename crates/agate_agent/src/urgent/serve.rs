//! Serves one attempt on behalf of the connection that requested it.

use std::sync::Arc;
use std::time::Duration;

use agate_wire::message::{Refusal, ServeReply, ServeRequest, ServeResult};
use tokio::sync::watch;
use tokio::time::timeout;

use super::attempt;
use crate::state::{Bindings, Core, KeyStep, Outcome, OutcomeReceiver};

/// Extra wait past the deadline, so that a refusal issued at the deadline is still returned.
const REFUSAL_GRACE: Duration = Duration::from_millis(50);

/// Serves an attempt. The work continues if this future is dropped.
pub(crate) async fn serve(core: &Arc<Core>, request: ServeRequest) -> ServeReply {
    let id = request.request;
    let outcome = execute(core, request).await;
    core.metrics.count_attempt(&outcome);
    ServeReply {
        request: id,
        result: to_result(outcome),
        load: core.load(),
    }
}

async fn execute(core: &Arc<Core>, request: ServeRequest) -> Outcome {
    let Some(bindings) = core.bindings_of(request.incarnation) else {
        return Outcome::refused(Refusal::Gone);
    };
    let budget = Duration::from_millis(request.budget_ms);
    let attempt = match request.key {
        None => spawn_attempt(core, bindings, request),
        Some(key) => match bindings.keys.bind(key, core.clock.wall_millis()) {
            KeyStep::Run(attempt) => {
                // Wait on the key, so that a tombstone ends the wait before the attempt notices it.
                drop(spawn_attempt(core, bindings, request));
                attempt
            }
            KeyStep::Join(attempt) => attempt,
            KeyStep::Settled(outcome) => return outcome,
        },
    };
    wait_for_outcome(attempt, budget).await
}

/// Runs an attempt in a separate task, which neither a closed connection nor a deadline cancels.
fn spawn_attempt(
    core: &Arc<Core>,
    bindings: Arc<Bindings>,
    request: ServeRequest,
) -> OutcomeReceiver {
    let (sender, receiver) = watch::channel(None);
    let core = Arc::clone(core);
    let tracker = core.tasks.clone();
    tracker.spawn(async move {
        let key = request.key;
        let outcome = attempt::run(&core, &bindings, request).await;
        if let Some(key) = key {
            bindings.keys.settle(key, &outcome);
        }
        sender.send_replace(Some(outcome));
    });
    receiver
}

async fn wait_for_outcome(mut attempt: OutcomeReceiver, budget: Duration) -> Outcome {
    let waited = timeout(budget + REFUSAL_GRACE, attempt.wait_for(Option::is_some)).await;
    match waited {
        Ok(Ok(outcome)) => outcome
            .clone()
            .unwrap_or_else(|| Outcome::Failed("the attempt ended without a result".to_owned())),
        Ok(Err(_)) => Outcome::Failed("the attempt ended without a result".to_owned()),
        Err(_) => Outcome::Failed("no answer before the deadline; it may still run".to_owned()),
    }
}

fn to_result(outcome: Outcome) -> ServeResult {
    match outcome {
        Outcome::Done(answer) => ServeResult::Done(answer),
        Outcome::Refused { reason, retry } => ServeResult::Refused {
            reason,
            retry_ms: u64::try_from(retry.as_millis()).unwrap_or(u64::MAX),
        },
        Outcome::Failed(reason) => ServeResult::Failed { reason },
    }
}
