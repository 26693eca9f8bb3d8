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

/// Connections from entries at once.
const MAX_CONNECTIONS: u32 = 256;

/// Answers that may wait to be written on one connection.
const MESSAGE_BUFFER: u32 = 1_024;

/// Time between two pings on a connection.
const PING_INTERVAL: Duration = Duration::from_secs(5);

/// Time without a sign of life after which a connection is closed. What it asked for goes on.
const PING_LIMIT: Duration = Duration::from_secs(10);

/// Answers the calls of entries. The library drops a handler whose connection closes, so that a
/// handler only ever waits for work that runs in a task of its own.
#[derive(Debug)]
struct Handlers(Arc<Core>);

#[async_trait]
impl AgentRpcServer for Handlers {
    async fn serve(&self, request: ServeRequest) -> RpcResult<ServeReply> {
        Ok(urgent::serve(&self.0, request).await)
    }

    async fn key_status(&self, request: KeyStatusRequest) -> RpcResult<KeyStatusReply> {
        Ok(urgent::fate(&self.0, request).await)
    }

    async fn start(&self, request: StartRun) -> RpcResult<StartReply> {
        Ok(batch::start(&self.0, request).await)
    }

    async fn stop(&self, request: RunActionRequest) -> RpcResult<RunActionReply> {
        Ok(batch::stop(&self.0, &request))
    }

    async fn configure(&self, config: ConfigState) -> RpcResult<Version> {
        self.0.policy.offer(config);
        Ok(self.0.policy.held().version)
    }
}

/// Starts the server on a listener.
///
/// # Errors
///
/// Returns why the listener can't be used.
pub(crate) fn serve(core: Arc<Core>, listener: TcpListener) -> Result<ServerHandle, String> {
    let ping = PingConfig::new()
        .ping_interval(PING_INTERVAL)
        .inactive_limit(PING_LIMIT)
        .max_failures(1);
    let config = ServerConfig::builder()
        .max_connections(MAX_CONNECTIONS)
        .max_request_body_size(MAX_MESSAGE_BYTES)
        .max_response_body_size(MAX_MESSAGE_BYTES)
        .max_subscriptions_per_connection(0)
        .set_batch_request_config(BatchRequestConfig::Disabled)
        .set_message_buffer_capacity(MESSAGE_BUFFER)
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
