//! A connection to one agent, redialled after a failure.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_wire::rpc::MAX_MESSAGE_BYTES;
use displaydoc::Display;
use jsonrpsee::core::client::async_client::PingConfig;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::sync::Mutex;
use tokio::time::Instant;

/// Delay after a failed dial before the next one.
const REDIAL_BACKOFF: Duration = Duration::from_millis(200);

/// Pings within the inactivity limit.
const PINGS_PER_LIMIT: u32 = 4;

/// Upper bound on any call; callers set shorter limits themselves.
const MAX_CALL_TIME: Duration = Duration::from_hours(24);

/// {address} can't be reached: {reason}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) struct LinkError {
    /// Address of the agent or entry.
    pub(crate) address: SocketAddr,
    /// What was observed.
    pub(crate) reason: String,
}

impl std::error::Error for LinkError {}

/// A lazily dialled connection to one process.
///
/// Protocol pings detect a silent connection: every call on it fails, and the next call redials.
/// The connection itself never resends a call.
#[derive(Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    inactive_limit: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    client: Option<Arc<WsClient>>,
    failed: Option<(Instant, LinkError)>,
}

impl Link {
    /// Creates a link to `address` whose connection is closed after `inactive_limit` of silence.
    pub(crate) fn new(address: SocketAddr, inactive_limit: Duration) -> Self {
        Self {
            address,
            inactive_limit,
            state: Mutex::default(),
        }
    }

    /// Returns the open connection, dialling if there is none.
    ///
    /// # Errors
    ///
    /// Returns [`LinkError`] if the process can't be reached.
    pub(crate) async fn client(&self) -> Result<Arc<WsClient>, LinkError> {
        let mut state = self.state.lock().await;
        if let Some(client) = state.client.as_ref().filter(|client| client.is_connected()) {
            return Ok(Arc::clone(client));
        }
        if let Some((at, error)) = &state.failed
            && at.elapsed() < REDIAL_BACKOFF
        {
            return Err(error.clone());
        }
        match dial(self.address, self.inactive_limit).await {
            Ok(client) => {
                let client = Arc::new(client);
                state.client = Some(Arc::clone(&client));
                state.failed = None;
                Ok(client)
            }
            Err(error) => {
                state.client = None;
                state.failed = Some((Instant::now(), error.clone()));
                Err(error)
            }
        }
    }

    /// Drops `client`, so that the next call redials. Does nothing if it has been replaced.
    pub(crate) async fn discard(&self, client: &Arc<WsClient>) {
        let mut state = self.state.lock().await;
        if state
            .client
            .as_ref()
            .is_some_and(|open| Arc::ptr_eq(open, client))
        {
            state.client = None;
            log::info!(event = "connection_condemned", address:% = self.address; "the next call redials");
        }
    }
}

/// Opens a connection that fails after `inactive_limit` without a message from the peer.
///
/// # Errors
///
/// Returns [`LinkError`] if the connection isn't established within that time.
pub(crate) async fn dial(
    address: SocketAddr,
    inactive_limit: Duration,
) -> Result<WsClient, LinkError> {
    let pings = PingConfig::new()
        .ping_interval(inactive_limit / PINGS_PER_LIMIT)
        .inactive_limit(inactive_limit)
        .max_failures(1);
    WsClientBuilder::new()
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .request_timeout(MAX_CALL_TIME)
        .connection_timeout(inactive_limit)
        .enable_ws_ping(pings)
        .build(format!("ws://{address}"))
        .await
        .map_err(|error| LinkError {
            address,
            reason: error.to_string(),
        })
}
