//! Connections to entries.

use std::net::SocketAddr;
use std::time::Duration;

use agate_preset::Preset;
use agate_wire::rpc::MAX_MESSAGE_BYTES;
use jsonrpsee::core::client::Error;
use jsonrpsee::ws_client::{PingConfig, WsClient, WsClientBuilder};

/// Connects to an entry. The connection closes after a silence of `membership.silent_ms`, and a
/// call that gets no answer within that time fails.
pub(crate) async fn connect(address: SocketAddr, preset: &Preset) -> Result<WsClient, Error> {
    let silence_limit = Duration::from_millis(u64::from(preset.membership.silent_ms));
    let ping = PingConfig::new()
        .ping_interval(silence_limit / 2)
        .inactive_limit(silence_limit)
        .max_failures(1);
    WsClientBuilder::default()
        .connection_timeout(silence_limit)
        .request_timeout(silence_limit)
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .enable_ws_ping(ping)
        .build(format!("ws://{address}"))
        .await
}
