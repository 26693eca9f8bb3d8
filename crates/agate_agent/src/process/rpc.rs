//! The JSON-RPC server that entries call.

use std::net::TcpListener;
use std::sync::Arc;
use std::time::Duration;

use agate_core::Version;
use agate_wire::message::{
    ConfigState, KeyStatusReply, KeyStatusRequest, RunActionReply, RunActionRequest, ServeReply,
    ServeRequest, StartReply, StartRun,
};
use agate_wire::rpc::{AgentRpcServer, MAX_MESSAGE_BYTES};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{BatchRequestConfig, PingConfig, Server, ServerConfig, ServerHandle};

use crate::state::Core;
use crate::{batch, urgent};

/// Maximum number of concurrent connections from entries.
const MAX_CONNECTIONS: u32 = 256;

/// Maximum number of answers waiting to be written on one connection.
const MAX_BUFFERED_MESSAGES: u32 = 1_024;

/// Interval between pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Silence after which a connection is closed. Work that it requested continues.
const PING_TIMEOUT: Duration = Duration::from_secs(10);

/// Handlers for calls from entries. jsonrpsee drops a handler when its connection closes, so
/// handlers only wait for work that runs in a separate task.
#[derive(Debug)]
struct Handlers(Arc<Core>);

#[async_trait]
impl AgentRpcServer for Handlers {
    async fn serve(&self, request: ServeRequest) -> RpcResult<ServeReply> {
        Ok(urgent::serve(&self.0, request).await)
    }

    async fn key_status(&self, request: KeyStatusRequest) -> RpcResult<KeyStatusReply> {
        Ok(urgent::query_key_status(&self.0, request).await)
    }

    async fn start(&self, request: StartRun) -> RpcResult<StartReply> {
        Ok(batch::start(&self.0, request).await)
    }

    async fn stop(&self, request: RunActionRequest) -> RpcResult<RunActionReply> {
        Ok(batch::stop(&self.0, &request))
    }

    async fn configure(&self, config: ConfigState) -> RpcResult<Version> {
        self.0.policy.update(config);
        Ok(self.0.policy.current().version)
    }
}

/// Starts the server on `listener`.
///
/// # Errors
///
/// Returns the reason if the listener can't be used.
pub(crate) fn serve(core: Arc<Core>, listener: TcpListener) -> Result<ServerHandle, String> {
    let ping = PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PING_TIMEOUT)
        .max_failures(1);
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_subscriptions_per_connection(0)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_message_buffer_capacity(MAX_BUFFERED_MESSAGES)
        .set_tcp_no_delay(true)
        .enable_ws_ping(ping)
        .ws_only()
        .build();
    let server = Server::builder()
        .set_config(config)
        .build_from_tcp(listener);
    let server = server.map_err(|error| error.to_string())?;
    Ok(server.start(Handlers(core).into_rpc()))
}
