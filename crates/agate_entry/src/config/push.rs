//! Puts each new configuration in force here and sends it to every agent, without waiting for the
//! agent's heartbeat.

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

/// Agents told at once.
const CONCURRENT: usize = 32;

/// Time after which an agent is left to learn the configuration by its heartbeat.
const PATIENCE: Duration = Duration::from_secs(2);

/// Pushes changes until `stop` is cancelled.
pub(crate) async fn push(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let mut changes = entry.config.subscribe();
    loop {
        let held = changes.borrow_and_update().clone();
        entry.members.set_policy(held.preset.membership);
        entry.router.set_policy(&held.preset);
        if let Some(state) = held.state {
            tell_all(&entry, &state).await;
        }
        match stop.run_until_cancelled(changes.changed()).await {
            Some(Ok(())) => {}
            Some(Err(_)) | None => return Ok(()),
        }
    }
}

async fn tell_all(entry: &Entry, state: &ConfigState) {
    let targets = entry.members.targets();
    let count = targets.len();
    futures::stream::iter(targets)
        .for_each_concurrent(CONCURRENT, |target| tell(entry, target, state))
        .await;
    log::info!(event = "config_pushed", version:% = state.version, members = count; "");
}

async fn tell(entry: &Entry, target: Target, state: &ConfigState) {
    let link = entry.link(target.incarnation, target.address);
    let told = timeout(PATIENCE, async {
        let client = link.client().await.map_err(|error| error.to_string())?;
        let answer = client.configure(state.clone()).await;
        answer.map_err(|error| error.to_string())
    });
    match told.await {
        Ok(Ok(_version)) => {}
        Ok(Err(reason)) => {
            log::warn!(event = "config_push_failed", incarnation:% = target.incarnation, reason; "");
        }
        Err(_elapsed) => {
            log::warn!(event = "config_push_failed", incarnation:% = target.incarnation, reason = "no answer in time"; "");
        }
    }
}
