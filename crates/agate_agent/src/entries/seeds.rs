//! The first hello, to a seed.

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

/// First delay between two hellos; it doubles up to [`MAX_DELAY`].
const FIRST_DELAY: Duration = Duration::from_millis(100);

/// Longest delay between two hellos.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// Time between two looks at whether any entry answers.
const WATCH: Duration = Duration::from_millis(500);

/// Says hello to seeds whenever no entry answers, for as long as the agent runs.
pub(crate) async fn keep_announced(core: Arc<Core>) {
    let mut backoff = Backoff::new(FIRST_DELAY, MAX_DELAY);
    loop {
        if !core.entries.answering().is_empty() {
            backoff.reset();
            sleep(WATCH).await;
            continue;
        }
        // Agents that lost the same entry, or started together, must not ask at once.
        sleep(jitter(backoff.delay(), 0.1)).await;
        let Some(seed) = core.config.seeds.choose(&mut rand::rng()).copied() else {
            return;
        };
        match hello(&core, seed).await {
            Ok(()) => sleep(WATCH).await,
            Err(cause) => {
                log::info!(event = "seed_silent", seed:% = seed, cause = cause.as_str(); "");
            }
        }
    }
}

async fn hello(core: &Core, seed: SocketAddr) -> Result<(), String> {
    let preset = &core.policy.held().preset;
    let client = connect(seed, preset).await.map_err(|e| e.to_string())?;
    let hello = Hello {
        member: Some(core.member()),
        entry: None,
    };
    let welcome = client.hello(hello).await.map_err(|e| e.to_string())?;
    if let Some(config) = welcome.config {
        core.policy.offer(config);
    }
    let mut entries = welcome.peers;
    entries.push(welcome.entry);
    core.entries.learn(entries);
    Ok(())
}
