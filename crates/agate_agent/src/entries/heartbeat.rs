//! Heartbeats to one entry and their acknowledgements.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_core::Moment;
use agate_wire::message::{Heartbeat, HeartbeatAck, UrgentSample, UsageSample, Verdict};
use agate_wire::rpc::EntryRpcClient;
use jsonrpsee::core::client::Error;
use jsonrpsee::ws_client::WsClient;

use crate::batch::{self, UsageReading};
use crate::state::{Bindings, Core, Cursor, Phase, TimedSample};

/// What one entry has acknowledged: the last heartbeat and the samples sent with it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct SendProgress {
    sequence: u64,
    usage: Cursor,
    urgent: Cursor,
}

/// Sends a heartbeat and applies its acknowledgement. Returns whether the entry knows the agent.
pub(super) async fn send(
    core: &Arc<Core>,
    bindings: &Arc<Bindings>,
    address: SocketAddr,
    client: &WsClient,
    progress: &mut SendProgress,
) -> Result<bool, Error> {
    let (usage, usage_cursor) = core.usage_samples.since(progress.usage);
    let (urgent, urgent_cursor) = core.urgent_samples.since(progress.urgent);
    // The lease is measured from here, before the message is sent.
    let now = core.clock.boot_now();
    let leaving = core.phase() >= Phase::Leaving;
    let heartbeat = Heartbeat {
        incarnation: bindings.incarnation,
        sequence: core.metrics.next_heartbeat_sequence(),
        leaving,
        load: core.load(),
        config: core.policy.current().version,
        runs: bindings.runs.statuses(),
        usage: usage.into_iter().map(|s| usage_sample(s, now)).collect(),
        urgent: urgent.into_iter().map(|s| urgent_sample(s, now)).collect(),
        entries: core.entries.reachable(),
    };
    let sequence = heartbeat.sequence;
    let ack = client.heartbeat(heartbeat).await?;
    let is_known = apply_ack(core, bindings, ack, now);
    if is_known {
        *progress = SendProgress {
            sequence,
            usage: usage_cursor,
            urgent: urgent_cursor,
        };
        if leaving {
            core.entries.record_leave_ack(address);
        }
    }
    Ok(is_known)
}

fn apply_ack(
    core: &Arc<Core>,
    bindings: &Arc<Bindings>,
    ack: HeartbeatAck,
    sent_at: Moment,
) -> bool {
    if let Some(config) = ack.config {
        core.policy.update_refuted(config, ack.refuted);
    }
    core.entries.add_new(ack.entries);
    match ack.verdict {
        Verdict::Known => {
            bindings
                .runs
                .renew_lease(sent_at, Duration::from_millis(ack.lease_ms));
            true
        }
        Verdict::Unknown => false,
        Verdict::Lost => {
            batch::mark_incarnation_lost(core, bindings);
            true
        }
    }
}

fn usage_sample(sample: TimedSample<UsageReading>, now: Moment) -> UsageSample {
    UsageSample {
        run: sample.value.run,
        class: sample.value.class,
        age_ms: to_millis(now.since(sample.measured_at)),
        used: sample.value.used,
    }
}

fn urgent_sample(sample: TimedSample<UrgentSample>, now: Moment) -> UrgentSample {
    UrgentSample {
        age_ms: to_millis(now.since(sample.measured_at)),
        ..sample.value
    }
}

fn to_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
