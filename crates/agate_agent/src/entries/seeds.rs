//! First contact with entries through the seeds.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_wire::message::Hello;
use agate_wire::rpc::EntryRpcClient;
use rand::seq::IndexedRandom;
use tokio::time::sleep;

use super::connect::connect;
use crate::backoff::{Backoff, jitter};
use crate::state::Core;

/// Initial delay between hellos; it doubles up to [`MAX_DELAY`].
const INITIAL_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between hellos.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Interval between checks for a reachable entry.
const CHECK_INTERVAL: Duration = Duration::from_millis(500);

/// Sends a hello to a random seed whenever no entry is reachable.
pub(crate) async fn maintain_registration(core: Arc<Core>) {
    let mut backoff = Backoff::new(INITIAL_DELAY, MAX_DELAY);
    loop {
        if !core.entries.reachable().is_empty() {
            backoff.reset();
            sleep(CHECK_INTERVAL).await;
            continue;
        }
        // Jitter spreads the hellos of agents that lost the same entry or started together.
        sleep(jitter(backoff.next_delay(), 0.1)).await;
        let Some(seed) = core.config.seeds.choose(&mut rand::rng()).copied() else {
            return;
        };
        match send_hello(&core, seed).await {
            Ok(()) => sleep(CHECK_INTERVAL).await,
            Err(cause) => {
                log::info!(event = "seed_silent", seed:% = seed, cause = cause.as_str(); "");
            }
        }
    }
}

async fn send_hello(core: &Core, seed: SocketAddr) -> Result<(), String> {
    let preset = &core.policy.current().preset;
    let client = connect(seed, preset).await.map_err(|e| e.to_string())?;
    let hello = Hello {
        member: Some(core.member()),
        entry: None,
        leaving: false,
    };
    let welcome = client.hello(hello).await.map_err(|e| e.to_string())?;
    if let Some(config) = welcome.config {
        core.policy.update(config);
    }
    let mut entries = welcome.peers;
    entries.push(welcome.entry);
    core.entries.add_new(entries);
    Ok(())
}
