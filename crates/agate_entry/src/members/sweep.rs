//! Periodic detection of silent members and peers.

use std::sync::Arc;
use std::time::Duration;

use agate_members::MembershipChange;
use agate_super::ChildError;
use tokio::time::{MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

use crate::batch;
use crate::entry::Entry;
use crate::rpc::hello;

/// Sweeps per heartbeat interval.
const SWEEPS_PER_HEARTBEAT: u32 = 4;

/// Minimum number of missed announcements before a peer is forgotten, regardless of the preset.
const MIN_MISSED_HELLOS: u32 = 3;

/// Sweeps until `stop` is cancelled.
pub(crate) async fn sweep(entry: Arc<Entry>, stop: CancellationToken) -> Result<(), ChildError> {
    let heartbeat = Duration::from_millis(u64::from(entry.preset().membership.heartbeat_ms));
    let mut ticks = interval(heartbeat / SWEEPS_PER_HEARTBEAT);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    while stop.run_until_cancelled(ticks.tick()).await.is_some() {
        let policy = entry.preset().membership;
        for change in entry.members.sweep() {
            handle_change(&entry, change);
        }
        let timeout = Duration::from_millis(u64::from(policy.forget_ms));
        entry
            .peers
            .forget(timeout.max(hello::INTERVAL * MIN_MISSED_HELLOS));
    }
    Ok(())
}

fn handle_change(entry: &Entry, change: MembershipChange) {
    match change {
        MembershipChange::Suspected(member) => {
            if let Some(target) = entry.members.target_of(member) {
                log::warn!(event = "member_suspected", incarnation:% = target.incarnation, address:% = target.address; "");
            }
        }
        MembershipChange::Condemned(member) => {
            if let Some(target) = entry.members.target_of(member) {
                log::warn!(event = "member_condemned", incarnation:% = target.incarnation, address:% = target.address; "");
            }
        }
        MembershipChange::Forgotten(incarnation) => {
            log::warn!(event = "member_forgotten", incarnation:%; "");
            entry.links.retain(|linked| linked != incarnation);
            batch::remove_worker(entry, incarnation);
        }
    }
}
