//! One attempt, from the gate to the backend server's answer.

use std::sync::Arc;
use std::time::Duration;

use agate_route::admission::{AttemptOutcome, Refused, StartCheck};
use agate_telemetry::spans::Hop;
use agate_wire::message::{Refusal, ServeRequest};
use bytes::Bytes;
use tokio::time::Instant;

use super::gate::Permit;
use crate::local::{ExchangeError, Forward};
use crate::state::{Bound, Core, Outcome, Phase};

impl From<Refused> for Outcome {
    fn from(refused: Refused) -> Self {
        Self::Refused {
            reason: refused.reason,
            retry: refused.retry_after,
        }
    }
}

/// Runs an attempt to its end.
pub(crate) async fn run(core: &Arc<Core>, bound: &Bound, request: ServeRequest) -> Outcome {
    let mut span = core.tracer.start(Hop::AgentServe, Some(request.trace));
    span.note("class", &request.class);
    let Ok(body) = request.body.decode() else {
        return Outcome::refused(Refusal::Malformed);
    };
    let policy = core.policy.held();
    if policy.withdraws_class(&request.class) {
        return Outcome::refused(Refusal::Withdrawn);
    }
    let share = policy.preset.class(&request.class).share_percent;
    let budget = Duration::from_millis(request.budget_ms);
    let permit = match core.gate.enter(&request.class, share, budget).await {
        Ok(permit) => permit,
        Err(refused) => return refused.into(),
    };
    if let Err(refusal) = check_start(core, bound, &request, &permit) {
        permit.finish(AttemptOutcome::NotStarted);
        return Outcome::refused(refusal);
    }
    let forward_span = core.tracer.start(Hop::AgentForward, Some(span.context()));
    let forward = Forward {
        id: core.metrics.next_exchange(bound.incarnation),
        key: request.key,
        class: request.class.clone(),
        trace: forward_span.context(),
        media: request.media,
        body: Bytes::from(body),
        limit: core.config.limit,
    };
    let outcome = forward_to_end(core, permit, forward).await;
    if let Outcome::Failed(reason) = &outcome {
        span.fail(reason);
    }
    outcome
}

/// The last checks before the request leaves: the class, both clocks, and the key.
fn check_start(
    core: &Core,
    bound: &Bound,
    request: &ServeRequest,
    permit: &Permit,
) -> Result<(), Refusal> {
    if core.phase() == Phase::Ending {
        return Err(Refusal::Leaving);
    }
    if core.policy.held().withdraws_class(&request.class) {
        return Err(Refusal::Withdrawn);
    }
    match permit.check_start() {
        StartCheck::Proceed => {}
        StartCheck::Expired => return Err(Refusal::Late),
    }
    match request.key {
        Some(key) if !bound.keys.start(key) => Err(Refusal::Tombstoned),
        _ => Ok(()),
    }
}

async fn forward_to_end(core: &Core, permit: Permit, forward: Forward) -> Outcome {
    let class = forward.class.clone();
    let began = Instant::now();
    let load = core.gate.load();
    let result = tokio::select! {
        result = core.backend.forward(forward) => result,
        () = core.reached(Phase::Ending) => Err(ExchangeError::Uncertain(
            "the agent ended before the answer came".to_owned(),
        )),
    };
    match result {
        Ok(answer) => {
            core.slowdown.measure(&class, began.elapsed(), load.running);
            permit.finish(AttemptOutcome::Answered);
            Outcome::Done(answer)
        }
        Err(ExchangeError::NotSent(reason)) => {
            log::warn!(event = "request_not_sent", class:% = class, cause = reason.as_str(); "");
            permit.finish(AttemptOutcome::NotStarted);
            let retry = u64::from(core.policy.held().preset.admission.retry_ms);
            Outcome::Refused {
                reason: Refusal::Unreachable,
                retry: Duration::from_millis(retry),
            }
        }
        Err(ExchangeError::Uncertain(reason)) => {
            log::warn!(event = "request_failed", class:% = class, cause = reason.as_str(); "");
            permit.finish(AttemptOutcome::Failed);
            Outcome::Failed(reason)
        }
    }
}
