//! The directory of known entries.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_wire::message::EntryInfo;
use jsonrpsee::ws_client::WsClient;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::time::Instant;

/// Known entries by address.
#[derive(Debug)]
pub(crate) struct Directory {
    known: Mutex<BTreeMap<SocketAddr, KnownEntry>>,
    /// Notified when an entry is added.
    pub(crate) added: Notify,
}

#[derive(Debug)]
struct KnownEntry {
    info: EntryInfo,
    /// When the entry last answered or, before its first answer, was added.
    last_heard: Instant,
    /// Present while the entry is reachable.
    client: Option<Arc<WsClient>>,
    leave_notice: LeaveNotice,
}

/// Whether an entry has acknowledged that the agent is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaveNotice {
    /// The entry has not acknowledged yet.
    Pending,
    /// The entry has acknowledged.
    Acknowledged,
}

impl Directory {
    pub(crate) fn new() -> Self {
        Self {
            known: Mutex::new(BTreeMap::new()),
            added: Notify::new(),
        }
    }

    /// Adds entries that are not known yet.
    pub(crate) fn add_new(&self, entries: Vec<EntryInfo>) {
        let mut known = self.lock();
        let count_before = known.len();
        for info in entries {
            known.entry(info.address).or_insert_with(|| KnownEntry {
                info,
                last_heard: Instant::now(),
                client: None,
                leave_notice: LeaveNotice::Pending,
            });
        }
        if known.len() > count_before {
            self.added.notify_one();
        }
    }

    /// Replaces the information about the entry at `address`.
    pub(crate) fn update_info(&self, address: SocketAddr, info: EntryInfo) {
        if let Some(known) = self.lock().get_mut(&address) {
            known.info = info;
        }
    }

    /// Records that the entry at `address` has answered over `client`.
    pub(crate) fn mark_reachable(&self, address: SocketAddr, client: &Arc<WsClient>) {
        if let Some(known) = self.lock().get_mut(&address) {
            known.last_heard = Instant::now();
            known.client = Some(Arc::clone(client));
        }
    }

    /// Records that the entry at `address` does not answer.
    pub(crate) fn mark_silent(&self, address: SocketAddr) {
        if let Some(known) = self.lock().get_mut(&address) {
            known.client = None;
        }
    }

    /// Records that the entry at `address` has acknowledged that the agent is leaving.
    pub(crate) fn record_leave_ack(&self, address: SocketAddr) {
        if let Some(known) = self.lock().get_mut(&address) {
            known.leave_notice = LeaveNotice::Acknowledged;
        }
    }

    /// Returns whether every reachable entry has acknowledged that the agent is leaving.
    pub(crate) fn all_leave_acks_received(&self) -> bool {
        let known = self.lock();
        let mut reachable = known.values().filter(|known| known.client.is_some());
        reachable.all(|known| known.leave_notice == LeaveNotice::Acknowledged)
    }

    /// Removes the entry at `address` if it has been silent for `limit`. Returns whether it
    /// is gone.
    pub(crate) fn forget_if_silent(&self, address: SocketAddr, limit: Duration) -> bool {
        let mut known = self.lock();
        let is_silent = known
            .get(&address)
            .is_none_or(|known| known.last_heard.elapsed() >= limit);
        if is_silent {
            known.remove(&address);
        }
        is_silent
    }

    /// Returns the addresses of all known entries.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    /// Returns the entry at `address` if it is known.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<EntryInfo> {
        self.lock().get(&address).map(|known| known.info.clone())
    }

    /// Returns the reachable entries. Only these are sent to other processes, since an entry that
    /// is gone would otherwise be passed around forever.
    pub(crate) fn reachable(&self) -> Vec<EntryInfo> {
        let known = self.lock();
        let reachable = known.values().filter(|known| known.client.is_some());
        reachable.map(|known| known.info.clone()).collect()
    }

    /// Returns a connection to a random reachable entry.
    pub(crate) fn random_client(&self) -> Option<Arc<WsClient>> {
        let known = self.lock();
        let clients = known.values().filter_map(|known| known.client.as_ref());
        clients.choose(&mut rand::rng()).map(Arc::clone)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, KnownEntry>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
