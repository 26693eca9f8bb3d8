//! The attempts of one call.

use std::net::SocketAddr;

use agate_core::Moment;

use super::peers::Peers;

/// Most peers that one call is sent to. Bounds the load when the log answers nobody.
const MAX_PEERS: u32 = 2;

/// What is tried first.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Order {
    /// The log.
    StoreFirst,
    /// A peer.
    PeerFirst,
}

/// Where an attempt is made.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Target {
    /// At the log, over the process's own connection.
    Store,
    /// At a peer.
    Peer(SocketAddr),
}

/// The attempts that one call has made.
#[derive(Debug)]
pub struct Attempts {
    order: Order,
    store_tried: bool,
    peers_tried: u32,
}

impl Attempts {
    /// Creates the state of a call without attempts.
    pub const fn new(order: Order) -> Self {
        Self {
            order,
            store_tried: false,
            peers_tried: 0,
        }
    }

    /// Returns where to make the next attempt, if there is one. Peers that failed are expected to be
    /// excluded.
    pub fn next(&mut self, peers: &Peers, now: Moment) -> Option<Target> {
        if self.order == Order::StoreFirst && !self.store_tried {
            return self.try_store();
        }
        if self.peers_tried < MAX_PEERS
            && let Some(peer) = peers.choose(now)
        {
            self.peers_tried += 1;
            return Some(Target::Peer(peer));
        }
        self.try_store()
    }

    fn try_store(&mut self) -> Option<Target> {
        let first = !std::mem::replace(&mut self.store_tried, true);
        first.then_some(Target::Store)
    }
}
