//! Queries for the status of a key.

use std::sync::Arc;
use std::time::Duration;

use agate_bind::KeyStatus;
use agate_wire::message::{
    BackendResponse, KeyStatus as WireKeyStatus, KeyStatusReply, KeyStatusRequest,
};
use tokio::time::timeout;

use crate::state::{Bindings, Core};

/// Longest time that a query waits for a running request.
const MAX_WAIT: Duration = Duration::from_mins(1);

/// Returns the status of a key, after waiting for a running request if the query asks for it.
pub(crate) async fn query_key_status(
    core: &Arc<Core>,
    request: KeyStatusRequest,
) -> KeyStatusReply {
    let key_status = match core.bindings_of(request.incarnation) {
        Some(bindings) => resolve_key(core, &bindings, &request).await,
        None => WireKeyStatus::Gone,
    };
    KeyStatusReply {
        key: request.key,
        status: key_status,
        load: core.load(),
    }
}

async fn resolve_key(
    core: &Core,
    bindings: &Bindings,
    request: &KeyStatusRequest,
) -> WireKeyStatus {
    let keys = &bindings.keys;
    let initial = if request.tombstone {
        keys.tombstone(request.key, core.clock.wall_millis())
    } else {
        keys.key_status(request.key)
    };
    if !matches!(initial, KeyStatus::Queued | KeyStatus::Running) {
        return to_wire(initial);
    }
    let Some(mut outcome) = keys.subscribe_outcome(request.key) else {
        return to_wire(keys.key_status(request.key));
    };
    let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
    if timeout(wait, outcome.wait_for(Option::is_some))
        .await
        .is_err()
    {
        return to_wire(initial);
    }
    to_wire(keys.key_status(request.key))
}

fn to_wire(status: KeyStatus<BackendResponse>) -> WireKeyStatus {
    match status {
        KeyStatus::Queued | KeyStatus::Unbound => WireKeyStatus::Pending,
        KeyStatus::Running => WireKeyStatus::Running,
        KeyStatus::Done(answer) => WireKeyStatus::Done(answer),
        KeyStatus::AnswerDropped => WireKeyStatus::Unanswered {
            reason: "the answer is not held any more".to_owned(),
        },
        KeyStatus::Failed(reason) => WireKeyStatus::Unanswered { reason },
        KeyStatus::NotRun => WireKeyStatus::NotRun,
        KeyStatus::Expired => WireKeyStatus::Unanswered {
            reason: "the key is older than the window; whether it ran is not remembered".to_owned(),
        },
    }
}
