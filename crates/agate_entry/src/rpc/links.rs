//! The connections to all agents.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use agate_core::Incarnation;

use super::link::Link;

/// One link for each incarnation.
#[derive(Debug, Default)]
pub(crate) struct Links {
    by_incarnation: Mutex<HashMap<Incarnation, Arc<Link>>>,
}

impl Links {
    /// The link to `incarnation`, made if there is none.
    pub(crate) fn get(
        &self,
        incarnation: Incarnation,
        address: SocketAddr,
        silence: Duration,
    ) -> Arc<Link> {
        let mut links = self.lock();
        let link = links
            .entry(incarnation)
            .or_insert_with(|| Arc::new(Link::new(address, silence)));
        Arc::clone(link)
    }

    /// Drops the links whose incarnation `keep` refuses.
    pub(crate) fn retain(&self, keep: impl Fn(Incarnation) -> bool) {
        self.lock().retain(|incarnation, _| keep(*incarnation));
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, HashMap<Incarnation, Arc<Link>>> {
        // The map is whole between any two of its calls, so a panic elsewhere leaves it usable.
        self.by_incarnation
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}
