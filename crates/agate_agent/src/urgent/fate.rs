//! Questions about keys.

use std::sync::Arc;
use std::time::Duration;

use agate_bind::KeyStatus as BoundKeyStatus;
use agate_wire::message::{BackendResponse, KeyStatus, KeyStatusReply, KeyStatusRequest};
use tokio::time::timeout;

use crate::state::{Bound, Core};

/// Longest time that a question may wait for a running request.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Tells what became of a key, after waiting for a running request if asked to.
pub(crate) async fn fate(core: &Arc<Core>, request: KeyStatusRequest) -> KeyStatusReply {
    let fate = match core.bound_to(request.incarnation) {
        Some(bound) => settle(core, &bound, &request).await,
        None => KeyStatus::Gone,
    };
    KeyStatusReply {
        key: request.key,
        status: fate,
        load: core.load(),
    }
}

async fn settle(core: &Core, bound: &Bound, request: &KeyStatusRequest) -> KeyStatus {
    let keys = &bound.keys;
    let first = if request.tombstone {
        keys.tombstone(request.key, core.time.wall_millis())
    } else {
        keys.fate(request.key)
    };
    if !matches!(first, BoundKeyStatus::Queued | BoundKeyStatus::Running) {
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

fn to_wire(fate: BoundKeyStatus<BackendResponse>) -> KeyStatus {
    match fate {
        BoundKeyStatus::Queued | BoundKeyStatus::Unbound => KeyStatus::Pending,
        BoundKeyStatus::Running => KeyStatus::Running,
        BoundKeyStatus::Done(answer) => KeyStatus::Done(answer),
        BoundKeyStatus::AnswerDropped => KeyStatus::Unanswered {
            reason: "the answer is not held any more".to_owned(),
        },
        BoundKeyStatus::Failed(reason) => KeyStatus::Unanswered { reason },
        BoundKeyStatus::NotRun => KeyStatus::NotRun,
        BoundKeyStatus::Expired => KeyStatus::Unanswered {
            reason: "the key is older than the window; whether it ran is not remembered".to_owned(),
        },
    }
}
