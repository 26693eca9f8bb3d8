//! Other entries known to this entry.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Incarnation;
use agate_wire::message::EntryInfo;
use tokio::time::Instant;

/// Maximum number of peers; more indicates a misconfiguration or an attack.
const MAX_PEERS: usize = 256;

/// Other entries, each forgotten after a period without direct contact.
#[derive(Debug)]
pub(crate) struct Peers {
    me: Incarnation,
    peers: Mutex<HashMap<SocketAddr, Peer>>,
}

#[derive(Debug, Clone)]
struct Peer {
    info: EntryInfo,
    last_contact: Instant,
    /// Whether the peer itself has made contact; until then, it only receives announcements.
    is_confirmed: bool,
    /// Whether the peer has announced that it is leaving, which is final. It is kept, so that others
    /// that still mention it don't make it a peer again.
    is_leaving: bool,
}

impl Peers {
    /// Creates an empty list; `me` is never added to it.
    pub(crate) fn new(me: Incarnation) -> Self {
        Self {
            me,
            peers: Mutex::default(),
        }
    }

    /// Records direct contact with a peer.
    pub(crate) fn record_contact(&self, info: EntryInfo) {
        self.upsert(info, Source::Direct);
    }

    /// Records that a peer is leaving. It is no longer listed.
    pub(crate) fn record_leaving(&self, info: EntryInfo) {
        self.upsert(info, Source::Leave);
    }

    /// Records peers that others have mentioned. They receive announcements and are listed once
    /// they have answered, so a dead peer that others still mention is never listed.
    pub(crate) fn record_mentions(&self, infos: Vec<EntryInfo>) {
        for info in infos {
            self.upsert(info, Source::Gossip);
        }
    }

    /// Returns the addresses of all confirmed and mentioned peers.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    /// Returns the confirmed peers that are not leaving.
    pub(crate) fn list(&self) -> Vec<EntryInfo> {
        let peers = self.lock();
        let listed = peers
            .values()
            .filter(|peer| peer.is_confirmed && !peer.is_leaving);
        let mut infos: Vec<EntryInfo> = listed.map(|peer| peer.info.clone()).collect();
        infos.sort_by_key(|info| info.address);
        infos
    }

    /// Removes peers without contact for `timeout`.
    pub(crate) fn forget(&self, timeout: Duration) {
        self.lock()
            .retain(|_, peer| peer.last_contact.elapsed() < timeout);
    }

    fn upsert(&self, info: EntryInfo, source: Source) {
        if info.incarnation == self.me {
            return;
        }
        let mut peers = self.lock();
        let is_confirmed = source != Source::Gossip;
        if is_confirmed && peers.len() >= MAX_PEERS && !peers.contains_key(&info.address) {
            remove_mentioned(&mut peers);
        }
        let full = peers.len() >= MAX_PEERS;
        let mut is_leaving = source == Source::Leave;
        match peers.get_mut(&info.address) {
            Some(peer) if is_confirmed => {
                let last_contact = Instant::now();
                is_leaving |= peer.is_leaving && peer.info.incarnation == info.incarnation;
                *peer = Peer {
                    info,
                    last_contact,
                    is_confirmed,
                    is_leaving,
                };
            }
            Some(_) => {}
            None if full => {}
            None => {
                log::info!(event = "entry_learned", address:% = info.address, incarnation:% = info.incarnation; "");
                let last_contact = Instant::now();
                peers.insert(
                    info.address,
                    Peer {
                        info,
                        last_contact,
                        is_confirmed,
                        is_leaving,
                    },
                );
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        // Each operation leaves the map consistent, so it stays usable after a panic.
        self.peers.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Removes a peer that has only been mentioned, if there is one.
fn remove_mentioned(peers: &mut HashMap<SocketAddr, Peer>) {
    let mut mentioned = peers.iter().filter(|(_, peer)| !peer.is_confirmed);
    let address = mentioned.next().map(|(address, _)| *address);
    if let Some(address) = address {
        peers.remove(&address);
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Source {
    Direct,
    Leave,
    Gossip,
}
