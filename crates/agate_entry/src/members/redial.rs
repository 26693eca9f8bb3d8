//! Redials members whose connection has failed, so that they receive new work again.

use std::sync::Arc;
use std::time::Duration;

use agate_super::ChildError;
use futures::StreamExt;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use super::Target;
use crate::entry::Entry;

/// Interval between rounds.
const INTERVAL: Duration = Duration::from_millis(250);

/// Maximum number of concurrent dials.
const MAX_CONCURRENT: usize = 32;

/// Redials until `stop` is cancelled.
pub(crate) async fn redial(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    while stop.run_until_cancelled(sleep(INTERVAL)).await.is_some() {
        let round = futures::stream::iter(entry.members.condemned())
            .for_each_concurrent(MAX_CONCURRENT, |target| dial(Arc::clone(&entry), target));
        if stop.run_until_cancelled(round).await.is_none() {
            break;
        }
    }
    Ok(())
}

async fn dial(entry: Arc<Entry>, target: Target) {
    let link = entry.link(target.incarnation, target.address);
    if link.client().await.is_ok() {
        log::info!(event = "member_restored", incarnation:% = target.incarnation, address:% = target.address; "");
        entry.members.restore(target.member);
    }
}
