//! Addresses of the entries, shared by everything that calls them.

use std::net::SocketAddr;
use std::sync::{Arc, RwLock};

use rand::Rng;

/// Addresses of the running entries.
#[derive(Debug, Clone, Default)]
pub(crate) struct Directory(Arc<RwLock<Vec<EntryAddress>>>);

/// Addresses of one entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct EntryAddress {
    /// Address of the caller listener.
    pub(crate) callers: SocketAddr,
    /// Address of the operator listener.
    pub(crate) operators: SocketAddr,
}

impl Directory {
    /// Replaces all addresses.
    pub(crate) fn set(&self, addresses: Vec<EntryAddress>) {
        *self.0.write().expect("no holder of this lock panics") = addresses;
    }

    /// Returns a random entry.
    pub(crate) fn pick(&self, rng: &mut impl Rng) -> EntryAddress {
        let addresses = self.0.read().expect("no holder of this lock panics");
        addresses[rng.random_range(0..addresses.len())]
    }

    /// Returns all entries.
    pub(crate) fn all(&self) -> Vec<EntryAddress> {
        self.0
            .read()
            .expect("no holder of this lock panics")
            .clone()
    }
}
