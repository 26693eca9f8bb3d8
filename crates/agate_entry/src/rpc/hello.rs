//! Announcements of this entry to its seeds and known peers.

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

/// Mean interval between announcements.
pub(crate) const INTERVAL: Duration = Duration::from_secs(5);

/// Relative jitter of the interval.
const JITTER: f64 = 0.2;

/// Time limit of one announcement.
const TIMEOUT: Duration = Duration::from_secs(2);

/// Maximum number of concurrent announcements.
const MAX_CONCURRENT: usize = 16;

/// Announces this entry until `stop` is cancelled, and at once when it starts to leave.
///
/// A seed may be a load balancer, so each announcement opens a new connection and may reach a
/// different entry.
pub(crate) async fn announce(
    entry: Arc<Entry>,
    seeds: Arc<[SocketAddr]>,
    stop: CancellationToken,
) -> Result<(), ChildError> {
    loop {
        let is_leaving = entry.drain.leaving.is_cancelled();
        let mut addresses: BTreeSet<SocketAddr> = seeds.iter().copied().collect();
        addresses.extend(entry.peers.addresses());
        addresses.remove(&entry.me.address);
        let round = futures::stream::iter(addresses)
            .for_each_concurrent(MAX_CONCURRENT, |address| {
                announce_to(Arc::clone(&entry), address)
            });
        if stop.run_until_cancelled(round).await.is_none() {
            return Ok(());
        }
        let factor = rand::rng().random_range(1.0 - JITTER..=1.0 + JITTER);
        let pause = tokio::time::sleep(INTERVAL.mul_f64(factor));
        tokio::select! {
            () = stop.cancelled() => return Ok(()),
            () = pause => {}
            () = entry.drain.leaving.cancelled(), if !is_leaving => {}
        }
    }
}

async fn announce_to(entry: Arc<Entry>, address: SocketAddr) {
    match timeout(TIMEOUT, hello(&entry, address)).await {
        Ok(Ok(welcome)) => {
            entry.peers.record_contact(welcome.entry);
            entry.peers.record_mentions(welcome.peers);
            if let Some(config) = welcome.config {
                entry.config.offer_claimed(config);
            }
        }
        Ok(Err(reason)) => log::debug!(event = "hello_failed", address:%, reason; ""),
        Err(_elapsed) => {
            log::debug!(event = "hello_failed", address:%, reason = "no answer in time"; "");
        }
    }
}

async fn hello(entry: &Entry, address: SocketAddr) -> Result<Welcome, String> {
    let client = dial(address, TIMEOUT)
        .await
        .map_err(|error| error.to_string())?;
    let hello = Hello {
        member: None,
        entry: Some(entry.me.clone()),
        leaving: entry.drain.leaving.is_cancelled(),
    };
    client.hello(hello).await.map_err(|error| error.to_string())
}
