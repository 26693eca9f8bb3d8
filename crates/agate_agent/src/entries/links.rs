//! Links to all known entries.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;

use tokio::task::JoinSet;

use super::link;
use crate::state::Core;

/// Runs one link to each known entry.
pub(crate) async fn maintain_links(core: Arc<Core>) {
    let mut links = JoinSet::new();
    let mut linked = BTreeSet::new();
    loop {
        for address in core.entries.addresses() {
            if linked.insert(address) {
                links.spawn(run_link(Arc::clone(&core), address));
            }
        }
        tokio::select! {
            () = core.entries.added.notified() => {}
            Some(ended) = links.join_next() => match ended {
                Ok(address) => {
                    linked.remove(&address);
                }
                Err(error) => {
                    log::error!(event = "link_failed", cause:% = error; "");
                    // The error doesn't say which link failed, so all are restarted.
                    links.shutdown().await;
                    linked.clear();
                }
            },
        }
    }
}

async fn run_link(core: Arc<Core>, address: SocketAddr) -> SocketAddr {
    link::run(&core, address).await;
    log::info!(event = "entry_forgotten", entry:% = address; "");
    address
}
