//! The entries that the agent knows.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_wire::message::EntryInfo;
use jsonrpsee::ws_client::WsClient;
use rand::seq::IteratorRandom;
use tokio::sync::Notify;
use tokio::time::Instant;

/// The entries that the agent knows, by address.
#[derive(Debug)]
pub(crate) struct Directory {
    known: Mutex<BTreeMap<SocketAddr, Known>>,
    /// Notified when an entry is learned.
    pub(crate) learned: Notify,
}

#[derive(Debug)]
struct Known {
    info: EntryInfo,
    /// When the entry answered last, or was learned.
    heard: Instant,
    /// Present while the entry answers.
    client: Option<Arc<WsClient>>,
    leave: LeaveNotice,
}

/// Whether an entry has acknowledged that the agent is leaving.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum LeaveNotice {
    /// Not yet.
    Owed,
    /// It has.
    Acknowledged,
}

impl Directory {
    pub(crate) fn new() -> Self {
        Self {
            known: Mutex::new(BTreeMap::new()),
            learned: Notify::new(),
        }
    }

    /// Adds entries that are not known yet.
    pub(crate) fn learn(&self, entries: Vec<EntryInfo>) {
        let mut known = self.lock();
        let before = known.len();
        for info in entries {
            known.entry(info.address).or_insert_with(|| Known {
                info,
                heard: Instant::now(),
                client: None,
                leave: LeaveNotice::Owed,
            });
        }
        if known.len() > before {
            self.learned.notify_one();
        }
    }

    /// Notes that the entry at `address` has welcomed the agent as `info`.
    pub(crate) fn welcomed(&self, address: SocketAddr, info: EntryInfo) {
        if let Some(known) = self.lock().get_mut(&address) {
            known.info = info;
        }
    }

    /// Notes that the entry at `address` has answered over `client`.
    pub(crate) fn heard(&self, address: SocketAddr, client: &Arc<WsClient>) {
        if let Some(known) = self.lock().get_mut(&address) {
            known.heard = Instant::now();
            known.client = Some(Arc::clone(client));
        }
    }

    /// Notes that the entry at `address` does not answer.
    pub(crate) fn silent(&self, address: SocketAddr) {
        if let Some(known) = self.lock().get_mut(&address) {
            known.client = None;
        }
    }

    /// Notes that the entry at `address` knows that the agent is leaving.
    pub(crate) fn told_leaving(&self, address: SocketAddr) {
        if let Some(known) = self.lock().get_mut(&address) {
            known.leave = LeaveNotice::Acknowledged;
        }
    }

    /// Whether every entry that answers knows that the agent is leaving.
    pub(crate) fn all_told_leaving(&self) -> bool {
        let known = self.lock();
        let mut answering = known.values().filter(|known| known.client.is_some());
        answering.all(|known| known.leave == LeaveNotice::Acknowledged)
    }

    /// Drops the entry at `address` if it has been silent for `limit`, and tells whether it did.
    pub(crate) fn forget_if_silent(&self, address: SocketAddr, limit: Duration) -> bool {
        let mut known = self.lock();
        let silent = known
            .get(&address)
            .is_none_or(|known| known.heard.elapsed() >= limit);
        if silent {
            known.remove(&address);
        }
        silent
    }

    /// Addresses of all entries.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    /// The entry at `address`, if it is known.
    pub(crate) fn get(&self, address: SocketAddr) -> Option<EntryInfo> {
        self.lock().get(&address).map(|known| known.info.clone())
    }

    /// The entries that answer. Only these are told to others: an entry that has gone would be
    /// passed around for ever.
    pub(crate) fn answering(&self) -> Vec<EntryInfo> {
        let known = self.lock();
        let answering = known.values().filter(|known| known.client.is_some());
        answering.map(|known| known.info.clone()).collect()
    }

    /// A connection to one of the entries that answer.
    pub(crate) fn any_client(&self) -> Option<Arc<WsClient>> {
        let known = self.lock();
        let clients = known.values().filter_map(|known| known.client.as_ref());
        clients.choose(&mut rand::rng()).map(Arc::clone)
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Known>> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
