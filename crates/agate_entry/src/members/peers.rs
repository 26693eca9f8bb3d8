//! The other entries that this entry knows.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Incarnation;
use agate_wire::message::EntryInfo;
use tokio::time::Instant;

/// Most entries that are remembered; more than that can only be a mistake or an attack.
const MAX_PEERS: usize = 256;

/// Other entries, each forgotten after a time without a sign of life.
#[derive(Debug)]
pub(crate) struct Peers {
    me: Incarnation,
    known: Mutex<HashMap<SocketAddr, Peer>>,
}

#[derive(Debug, Clone)]
struct Peer {
    info: EntryInfo,
    heard: Instant,
    /// Whether it gave a sign of life by itself; until then it is only worth an announcement.
    met: bool,
}

impl Peers {
    /// Starts without peers; `me` is never counted as one.
    pub(crate) fn new(me: Incarnation) -> Self {
        Self {
            me,
            known: Mutex::default(),
        }
    }

    /// Takes over a sign of life from the peer itself.
    pub(crate) fn heard(&self, info: EntryInfo) {
        self.put(info, Heard::Itself);
    }

    /// Takes over what somebody else says about peers. They are announced to, and count as peers
    /// once they have answered: a dead one that others still mention never counts.
    pub(crate) fn mentioned(&self, infos: Vec<EntryInfo>) {
        for info in infos {
            self.put(info, Heard::FromOthers);
        }
    }

    /// Addresses of every peer that was met or mentioned.
    pub(crate) fn addresses(&self) -> Vec<SocketAddr> {
        self.lock().keys().copied().collect()
    }

    /// Every peer that gave a sign of life.
    pub(crate) fn list(&self) -> Vec<EntryInfo> {
        let known = self.lock();
        let met = known.values().filter(|peer| peer.met);
        let mut infos: Vec<EntryInfo> = met.map(|peer| peer.info.clone()).collect();
        infos.sort_by_key(|info| info.address);
        infos
    }

    /// Drops peers that have been silent for `patience`.
    pub(crate) fn forget(&self, patience: Duration) {
        self.lock()
            .retain(|_, peer| peer.heard.elapsed() < patience);
    }

    fn put(&self, info: EntryInfo, source: Heard) {
        if info.incarnation == self.me {
            return;
        }
        let mut known = self.lock();
        let full = known.len() >= MAX_PEERS;
        let met = source == Heard::Itself;
        match known.get_mut(&info.address) {
            Some(peer) if met => {
                let heard = Instant::now();
                *peer = Peer { info, heard, met };
            }
            Some(_) => {}
            None if full => {}
            None => {
                log::info!(event = "entry_learned", address:% = info.address, incarnation:% = info.incarnation; "");
                let heard = Instant::now();
                known.insert(info.address, Peer { info, heard, met });
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<SocketAddr, Peer>> {
        // The map is whole between any two of its calls, so a panic elsewhere leaves it usable.
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Heard {
    Itself,
    FromOthers,
}
