//! One heartbeat and what its acknowledgement changes.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_core::Moment;
use agate_wire::message::{Heartbeat, HeartbeatAck, UrgentSample, UsageSample, Verdict};
use agate_wire::rpc::EntryRpcClient;
use jsonrpsee::core::client::Error;
use jsonrpsee::ws_client::WsClient;

use crate::batch::{self, Reading};
use crate::state::{Bound, Core, Cursor, Phase, Timed};

/// What one entry has been sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(super) struct Sent {
    sequence: u64,
    usage: Cursor,
    urgent: Cursor,
}

/// Sends a heartbeat and takes in its acknowledgement. Tells whether the entry knows the agent.
pub(super) async fn send(
    core: &Arc<Core>,
    bound: &Arc<Bound>,
    address: SocketAddr,
    client: &WsClient,
    sent: &mut Sent,
) -> Result<bool, Error> {
    let (usage, usage_cursor) = core.usage.since(sent.usage);
    let (urgent, urgent_cursor) = core.urgent.since(sent.urgent);
    // The lease counts from here, before the message is under way.
    let now = core.time.boot();
    let leaving = core.phase() >= Phase::Leaving;
    let heartbeat = Heartbeat {
        incarnation: bound.incarnation,
        sequence: core.metrics.next_heartbeat(),
        leaving,
        load: core.load(),
        config: core.policy.held().version,
        runs: bound.runs.statuses(),
        usage: usage.into_iter().map(|s| usage_sample(s, now)).collect(),
        urgent: urgent.into_iter().map(|s| urgent_sample(s, now)).collect(),
        entries: core.entries.answering(),
    };
    let sequence = heartbeat.sequence;
    let ack = client.heartbeat(heartbeat).await?;
    let known = take_in(core, bound, ack, now);
    if known {
        *sent = Sent {
            sequence,
            usage: usage_cursor,
            urgent: urgent_cursor,
        };
        if leaving {
            core.entries.told_leaving(address);
        }
    }
    Ok(known)
}

fn take_in(core: &Arc<Core>, bound: &Arc<Bound>, ack: HeartbeatAck, sent: Moment) -> bool {
    if let Some(config) = ack.config {
        core.policy.offer(config);
    }
    core.entries.learn(ack.entries);
    match ack.verdict {
        Verdict::Known => {
            bound.runs.renew(sent, Duration::from_millis(ack.lease_ms));
            true
        }
        Verdict::Unknown => false,
        Verdict::Lost => {
            batch::lose(core, bound);
            true
        }
    }
}

fn usage_sample(sample: Timed<Reading>, now: Moment) -> UsageSample {
    UsageSample {
        run: sample.value.run,
        class: sample.value.class,
        age_ms: millis(now.since(sample.measured)),
        used: sample.value.used,
    }
}

fn urgent_sample(sample: Timed<UrgentSample>, now: Moment) -> UrgentSample {
    UrgentSample {
        age_ms: millis(now.since(sample.measured)),
        ..sample.value
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
