//! Applies each new configuration locally and pushes it to every agent without waiting for its
//! heartbeat.

use std::sync::Arc;
use std::time::Duration;

use agate_super::ChildError;
use agate_wire::message::ConfigState;
use agate_wire::rpc::AgentRpcClient;
use futures::StreamExt;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use crate::entry::Entry;
use crate::members::Target;

/// Maximum number of concurrent pushes.
const MAX_CONCURRENT: usize = 32;

/// Time limit of a push; afterwards the agent gets the configuration through its next heartbeat.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Applies and pushes changes until `stop` is cancelled.
pub(crate) async fn push(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut changes = entry.config.subscribe();
    loop {
        let current = changes.borrow_and_update().clone();
        entry.members.set_policy(current.preset.membership);
        entry.router.set_policy(&current.preset);
        if let Some(state) = current.state {
            push_to_all(&entry, &state).await;
        }
        match stop.run_until_cancelled(changes.changed()).await {
            Some(Ok(())) => {}
            Some(Err(_)) | None => return Ok(()),
        }
    }
}

async fn push_to_all(entry: &Entry, state: &ConfigState) {
    let targets = entry.members.targets();
    let count = targets.len();
    futures::stream::iter(targets)
        .for_each_concurrent(MAX_CONCURRENT, |target| push_to(entry, target, state))
        .await;
    log::info!(event = "config_pushed", version:% = state.version, members = count; "");
}

async fn push_to(entry: &Entry, target: Target, state: &ConfigState) {
    let link = entry.link(target.incarnation, target.address);
    let pushed = timeout(TIMEOUT, async {
        let client = link.client().await.map_err(|error| error.to_string())?;
        let answer = client.configure(state.clone()).await;
        answer.map_err(|error| error.to_string())
    });
    match pushed.await {
        Ok(Ok(_version)) => {}
        Ok(Err(reason)) => {
            log::warn!(event = "config_push_failed", incarnation:% = target.incarnation, reason; "");
        }
        Err(_elapsed) => {
            log::warn!(event = "config_push_failed", incarnation:% = target.incarnation, reason = "no answer in time"; "");
        }
    }
}
