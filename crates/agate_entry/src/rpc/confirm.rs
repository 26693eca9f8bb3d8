//! Confirmation that an incarnation answers at the address that it announced.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Incarnation, Key, clock};
use agate_wire::message::{KeyStatus, KeyStatusRequest};
use agate_wire::rpc::AgentRpcClient;
use rand::Rng;
use tokio::time::timeout;

use super::link::dial;

/// Time limit of a confirmation. An agent announces itself again after a failed one.
const TIMEOUT: Duration = Duration::from_secs(1);

/// Returns whether the agent at `address` answers as `incarnation`.
///
/// An announcement is only a claim. The answer over a connection to the address is the evidence for
/// which a known agent at the same address is given up.
pub(super) async fn answers_as(address: SocketAddr, incarnation: Incarnation) -> bool {
    matches!(
        timeout(TIMEOUT, query(address, incarnation)).await,
        Ok(true)
    )
}

async fn query(address: SocketAddr, incarnation: Incarnation) -> bool {
    let Ok(client) = dial(address, TIMEOUT).await else {
        return false;
    };
    // The status of a key that no request has tells whether the incarnation is still this one.
    let request = KeyStatusRequest {
        key: Key::from_parts(clock::wall_millis(), rand::rng().random()),
        incarnation,
        tombstone: false,
        wait_ms: 0,
    };
    let answer = client.key_status(request).await;
    answer.is_ok_and(|reply| reply.status != KeyStatus::Gone)
}
