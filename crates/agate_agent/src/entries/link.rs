//! The link to one entry: a hello, then heartbeats until the entry has been silent for too long.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_core::Incarnation;
use agate_members::{Scope, next_heartbeat_delay};
use agate_wire::message::Hello;
use agate_wire::rpc::EntryRpcClient;
use jsonrpsee::core::client::Error;
use jsonrpsee::ws_client::WsClient;
use tokio::time::{sleep, timeout};

use super::connect::connect;
use super::heartbeat::{self, SendProgress};
use crate::backoff::Backoff;
use crate::state::{Core, Phase};

/// Initial delay before a reconnection; it doubles up to [`MAX_DELAY`].
const INITIAL_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before a reconnection.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Runs the link until the entry has been silent for `membership.forget_ms`.
pub(crate) async fn run(core: &Arc<Core>, address: SocketAddr) {
    let mut progress = SendProgress::default();
    let mut backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY);
    loop {
        let before = progress;
        if let Err(error) = run_connection(core, address, &mut progress).await {
            log::info!(event = "entry_silent", entry:% = address, cause:% = error; "");
        }
        core.entries.mark_silent(address);
        let limit = core.policy.current().preset.membership.forget_ms;
        let limit = Duration::from_millis(u64::from(limit));
        if core.entries.forget_if_silent(address, limit) {
            return;
        }
        if progress != before {
            backoff.reset();
        }
        sleep(backoff.next_delay()).await;
    }
}

/// Sends hellos and heartbeats over one connection until a call fails.
async fn run_connection(
    core: &Arc<Core>,
    address: SocketAddr,
    progress: &mut SendProgress,
) -> Result<(), Error> {
    let preset = core.policy.current();
    let client = Arc::new(connect(address, &preset.preset).await?);
    let mut announced = None;
    loop {
        let bindings = core.bindings();
        if announced != Some(bindings.incarnation) {
            announced = Some(send_hello(core, address, &client, bindings.incarnation).await?);
        }
        let is_known = heartbeat::send(core, &bindings, address, &client, progress).await?;
        if !is_known {
            announced = None;
            sleep(INITIAL_DELAY).await;
            continue;
        }
        core.entries.mark_reachable(address, &client);
        wait_for_next(core, address).await;
    }
}

async fn send_hello(
    core: &Core,
    address: SocketAddr,
    client: &WsClient,
    incarnation: Incarnation,
) -> Result<Incarnation, Error> {
    let hello = Hello {
        member: Some(core.member()),
        entry: None,
        leaving: false,
    };
    let welcome = client.hello(hello).await?;
    if let Some(config) = welcome.config {
        core.policy.update(config);
    }
    core.entries.update_info(address, welcome.entry);
    core.entries.add_new(welcome.peers);
    Ok(incarnation)
}

/// Waits until the next heartbeat is due or the agent starts to leave.
async fn wait_for_next(core: &Core, address: SocketAddr) {
    let policy = core.policy.current().preset.membership;
    let entry = core.entries.get(address);
    let scope = entry.map_or(Scope::Zone, |entry| {
        Scope::between(&core.config.site, &entry.site)
    });
    let delay = next_heartbeat_delay(&policy, scope, &mut rand::rng());
    if core.phase() >= Phase::Leaving {
        sleep(delay).await;
        return;
    }
    // The next heartbeat follows in either case; a leaving agent sends it at once.
    drop(timeout(delay, core.wait_for_phase(Phase::Leaving)).await);
}
