//! Service of one attempt, as seen from the connection that asked for it.

use std::sync::Arc;
use std::time::Duration;

use agate_wire::message::{Refusal, ServeReply, ServeRequest, ServeResult};
use tokio::sync::watch;
use tokio::time::timeout;

use super::attempt;
use crate::state::{Attempt, Bound, Core, KeyStep, Outcome};

/// Time past the deadline in which a refusal that comes at the deadline is still waited for.
const SETTLE: Duration = Duration::from_millis(50);

/// Serves an attempt. The work goes on if the caller of this function goes away.
pub(crate) async fn serve(core: &Arc<Core>, request: ServeRequest) -> ServeReply {
    let id = request.request;
    let outcome = settle(core, request).await;
    core.metrics.count(&outcome);
    ServeReply {
        request: id,
        result: result(outcome),
        load: core.load(),
    }
}

async fn settle(core: &Arc<Core>, request: ServeRequest) -> Outcome {
    let Some(bound) = core.bound_to(request.incarnation) else {
        return Outcome::refused(Refusal::Gone);
    };
    let budget = Duration::from_millis(request.budget_ms);
    let attempt = match request.key {
        None => spawn(core, bound, request),
        Some(key) => match bound.keys.bind(key, core.time.wall_millis()) {
            KeyStep::Run(attempt) => {
                // A tombstone ends the wait at once, and not when the attempt notices it.
                drop(spawn(core, bound, request));
                attempt
            }
            KeyStep::Join(attempt) => attempt,
            KeyStep::Settled(outcome) => return outcome,
        },
    };
    wait(attempt, budget).await
}

/// Runs an attempt in a task of its own, which neither a connection nor a deadline can cancel.
fn spawn(core: &Arc<Core>, bound: Arc<Bound>, request: ServeRequest) -> Attempt {
    let (sender, receiver) = watch::channel(None);
    let core = Arc::clone(core);
    let tracker = core.work.clone();
    tracker.spawn(async move {
        let key = request.key;
        let outcome = attempt::run(&core, &bound, request).await;
        if let Some(key) = key {
            bound.keys.settle(key, &outcome);
        }
        sender.send_replace(Some(outcome));
    });
    receiver
}

async fn wait(mut attempt: Attempt, budget: Duration) -> Outcome {
    let ended = timeout(budget + SETTLE, attempt.wait_for(Option::is_some)).await;
    match ended {
        Ok(Ok(outcome)) => outcome
            .clone()
            .unwrap_or_else(|| Outcome::Failed("the attempt ended without a result".to_owned())),
        Ok(Err(_)) => Outcome::Failed("the attempt ended without a result".to_owned()),
        Err(_) => Outcome::Failed("no answer before the deadline; it may still run".to_owned()),
    }
}

fn result(outcome: Outcome) -> ServeResult {
    match outcome {
        Outcome::Done(answer) => ServeResult::Done(answer),
        Outcome::Refused { reason, retry } => ServeResult::Refused {
            reason,
            retry_ms: u64::try_from(retry.as_millis()).unwrap_or(u64::MAX),
        },
        Outcome::Failed(reason) => ServeResult::Failed { reason },
    }
}
