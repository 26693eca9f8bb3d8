//! The link to one entry: hello, then heartbeats, until the entry has been silent for too long.

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
use super::heartbeat::{self, Sent};
use crate::backoff::Backoff;
use crate::state::{Core, Phase};

/// First delay before an entry is dialled again; it doubles up to [`MAX_DELAY`].
const FIRST_DELAY: Duration = Duration::from_millis(50);

/// Longest delay before an entry is dialled again.
const MAX_DELAY: Duration = Duration::from_secs(2);

/// Runs until the entry has been silent for `membership.forget_ms`.
pub(crate) async fn run(core: &Arc<Core>, address: SocketAddr) {
    let mut sent = Sent::default();
    let mut backoff = Backoff::new(FIRST_DELAY, MAX_DELAY);
    loop {
        let before = sent;
        if let Err(error) = talk(core, address, &mut sent).await {
            log::info!(event = "entry_silent", entry:% = address, cause:% = error; "");
        }
        core.entries.silent(address);
        let limit = core.policy.held().preset.membership.forget_ms;
        let limit = Duration::from_millis(u64::from(limit));
        if core.entries.forget_if_silent(address, limit) {
            return;
        }
        if sent != before {
            backoff.reset();
        }
        sleep(backoff.delay()).await;
    }
}

/// Talks over one connection until a call fails.
async fn talk(core: &Arc<Core>, address: SocketAddr, sent: &mut Sent) -> Result<(), Error> {
    let preset = core.policy.held();
    let client = Arc::new(connect(address, &preset.preset).await?);
    let mut announced = None;
    loop {
        let bound = core.bound();
        if announced != Some(bound.incarnation) {
            announced = Some(hello(core, address, &client, bound.incarnation).await?);
        }
        let known = heartbeat::send(core, &bound, address, &client, sent).await?;
        if !known {
            announced = None;
            sleep(FIRST_DELAY).await;
            continue;
        }
        core.entries.heard(address, &client);
        wait(core, address).await;
    }
}

async fn hello(
    core: &Core,
    address: SocketAddr,
    client: &WsClient,
    incarnation: Incarnation,
) -> Result<Incarnation, Error> {
    let hello = Hello {
        member: Some(core.member()),
        entry: None,
    };
    let welcome = client.hello(hello).await?;
    if let Some(config) = welcome.config {
        core.policy.offer(config);
    }
    core.entries.welcomed(address, welcome.entry);
    core.entries.learn(welcome.peers);
    Ok(incarnation)
}

/// Waits for the time of the next heartbeat, or until the agent begins to leave.
async fn wait(core: &Core, address: SocketAddr) {
    let policy = core.policy.held().preset.membership;
    let entry = core.entries.get(address);
    let scope = entry.map_or(Scope::Zone, |entry| {
        Scope::between(&core.config.site, &entry.site)
    });
    let pause = next_heartbeat_delay(&policy, scope, &mut rand::rng());
    if core.phase() >= Phase::Leaving {
        sleep(pause).await;
        return;
    }
    // A leaving agent says so at once; either way the next heartbeat follows.
    drop(timeout(pause, core.reached(Phase::Leaving)).await);
}
