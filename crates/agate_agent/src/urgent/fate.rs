//! Questions about keys.

use std::sync::Arc;
use std::time::Duration;

use agate_bind::KeyStatus;
use agate_wire::message::{Answer, Fate, FateReply, FateRequest};
use tokio::time::timeout;

use crate::state::{Bound, Core};

/// Longest time that a question may wait for a running request.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Tells what became of a key, after waiting for a running request if asked to.
pub(crate) async fn fate(core: &Arc<Core>, request: FateRequest) -> FateReply {
    let fate = match core.bound_to(request.incarnation) {
        Some(bound) => settle(core, &bound, &request).await,
        None => Fate::Gone,
    };
    FateReply {
        key: request.key,
        fate,
        load: core.load(),
    }
}

async fn settle(core: &Core, bound: &Bound, request: &FateRequest) -> Fate {
    let keys = &bound.keys;
    let first = if request.tombstone {
        keys.tombstone(request.key, core.time.wall_millis())
    } else {
        keys.fate(request.key)
    };
    if !matches!(first, KeyStatus::Queued | KeyStatus::Running) {
        return to_wire(first);
    }
    let Some(mut attempt) = keys.attempt(request.key) else {
        return to_wire(keys.fate(request.key));
    };
    let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
    if timeout(wait, attempt.wait_for(Option::is_some))
        .await
        .is_err()
    {
        return to_wire(first);
    }
    to_wire(keys.fate(request.key))
}

fn to_wire(fate: KeyStatus<Answer>) -> Fate {
    match fate {
        KeyStatus::Queued | KeyStatus::Unbound => Fate::Pending,
        KeyStatus::Running => Fate::Running,
        KeyStatus::Done(answer) => Fate::Done(answer),
        KeyStatus::AnswerDropped => Fate::Unanswered {
            reason: "the answer is not held any more".to_owned(),
        },
        KeyStatus::Failed(reason) => Fate::Unanswered { reason },
        KeyStatus::NotRun => Fate::NotRun,
        KeyStatus::Expired => Fate::Unanswered {
            reason: "the key is older than the window; whether it ran is not remembered".to_owned(),
        },
    }
}
