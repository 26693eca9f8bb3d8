//! Connections to all agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agate_core::Incarnation;

use super::link::Link;

/// One link per incarnation.
#[derive(Debug, Default)]
pub(crate) struct Links {
    by_incarnation: Mutex<HashMap<Incarnation, Arc<Link>>>,
}

impl Links {
    /// Returns the link to `incarnation`, creating it if there is none.
    pub(crate) fn get_or_create(
        &self,
        incarnation: Incarnation,
        address: SocketAddr,
        inactive_limit: Duration,
    ) -> Arc<Link> {
        let mut links = self.lock();
        let link = links
            .entry(incarnation)
            .or_insert_with(|| Arc::new(Link::new(address, inactive_limit)));
        Arc::clone(link)
    }

    /// Drops the links for which `keep` returns false.
    pub(crate) fn retain(&self, keep: impl Fn(Incarnation) -> bool) {
        self.lock().retain(|incarnation, _| keep(*incarnation));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Incarnation, Arc<Link>>> {
        // Each operation leaves the map consistent, so it stays usable after a panic.
        self.by_incarnation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
