//! Addresses of the entries, shared by everybody who calls them.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use rand::Rng;

/// Addresses of the running entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Directory(Arc<RwLock<Vec<EntryAddress>>>);

/// Addresses of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EntryAddress {
    /// Where callers connect.
    pub(crate) callers: SocketAddr,
    /// Where operators connect.
    pub(crate) operators: SocketAddr,
}

impl Directory {
    /// Replaces the addresses.
    pub(crate) fn set(&self, addresses: Vec<EntryAddress>) {
        *self.0.write().expect("no holder of this lock panics") = addresses;
    }

    /// Draws an entry.
    pub(crate) fn any(&self, rng: &mut impl Rng) -> EntryAddress {
        let addresses = self.0.read().expect("no holder of this lock panics");
        addresses[rng.random_range(0..addresses.len())]
    }

    /// Every entry.
    pub(crate) fn all(&self) -> Vec<EntryAddress> {
        self.0
            .read()
            .expect("no holder of this lock panics")
            .clone()
    }
}
