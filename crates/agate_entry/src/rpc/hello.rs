//! Announces this entry to its seeds and to the entries that it knows.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_super::ChildError;
use agate_wire::message::{Hello, Welcome};
use agate_wire::rpc::EntryRpcClient;
use futures::StreamExt;
use rand::Rng;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

use super::link::dial;
use crate::entry::Entry;

/// Mean time between two announcements.
pub(crate) const INTERVAL: Duration = Duration::from_secs(5);

/// Random change of the interval, as a share of it.
const JITTER: f64 = 0.2;

/// Longest time that one announcement may take.
const PATIENCE: Duration = Duration::from_secs(2);

/// Announcements made at once.
const CONCURRENT: usize = 16;

/// Announces this entry until `stop` is cancelled.
///
/// A seed may be a balancer, so each announcement opens a connection of its own and may reach
/// another entry than the one before.
pub(crate) async fn announce(
    entry: Arc<Entry>,
    seeds: Arc<[SocketAddr]>,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    loop {
        let mut addresses: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        addresses.extend(entry.peers.addresses());
        addresses.remove(&entry.me.address);
        let round = futures::stream::iter(addresses)
            .for_each_concurrent(CONCURRENT, |address| greet(Arc::clone(&entry), address));
        if stop.run_until_cancelled(round).await.is_none() {
            return Ok(());
        }
        let factor = rand::rng().random_range(1.0 - JITTER..=1.0 + JITTER);
        let pause = tokio::time::sleep(INTERVAL.mul_f64(factor));
        if stop.run_until_cancelled(pause).await.is_none() {
            return Ok(());
        }
    }
}

async fn greet(entry: Arc<Entry>, address: SocketAddr) {
    match timeout(PATIENCE, hello(&entry, address)).await {
        Ok(Ok(welcome)) => {
            entry.peers.heard(welcome.entry);
            entry.peers.mentioned(welcome.peers);
            if let Some(config) = welcome.config {
                entry.config.offer(config);
            }
        }
        Ok(Err(reason)) => log::debug!(event = "hello_failed", address:%, reason; ""),
        Err(_elapsed) => {
            log::debug!(event = "hello_failed", address:%, reason = "no answer in time"; "");
        }
    }
}

async fn hello(entry: &Entry, address: SocketAddr) -> Result<Welcome, String> {
    let client = dial(address, PATIENCE)
        .await
        .map_err(|error| error.to_string())?;
    let hello = Hello {
        member: None,
        entry: Some(entry.me.clone()),
    };
    client.hello(hello).await.map_err(|error| error.to_string())
}
