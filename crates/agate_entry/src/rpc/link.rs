//! One connection to one agent, dialled anew when it is condemned.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use agate_wire::rpc::MAX_MESSAGE_BYTES;
use displaydoc::Display;
use jsonrpsee::core::client::async_client::PingConfig;
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use tokio::sync::Mutex;
use tokio::time::Instant;

/// Time after a failed dial during which no other is made.
const REDIAL: Duration = Duration::from_millis(200);

/// Pings sent within the time after which a silent connection is condemned.
const PINGS: u32 = 4;

/// Longest time that one call may take; calls have shorter limits of their own.
const MAX_CALL: Duration = Duration::from_hours(24);

/// {address} can't be reached: {reason}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub(crate) struct LinkError {
    /// The agent or entry.
    pub(crate) address: SocketAddr,
    /// What was seen.
    pub(crate) reason: String,
}

impl std::error::Error for LinkError {}

/// A connection to one process that is dialled when it is first needed.
///
/// Pings inside the protocol condemn a connection that has gone silent: every call on it fails
/// and the next one dials. A call is never sent twice by the connection itself.
#[derive(Debug)]
pub(crate) struct Link {
    address: SocketAddr,
    silence: Duration,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    client: Option<Arc<WsClient>>,
    failed: Option<(Instant, LinkError)>,
}

impl Link {
    /// Creates a link to `address` whose connection is condemned after `silence`.
    pub(crate) fn new(address: SocketAddr, silence: Duration) -> Self {
        Self {
            address,
            silence,
            state: Mutex::default(),
        }
    }

    /// The connection, dialled if there is none that works.
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
            && at.elapsed() < REDIAL
        {
            return Err(error.clone());
        }
        match dial(self.address, self.silence).await {
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

    /// Gives up `client`, so that the next call dials. Does nothing if it has been replaced.
    pub(crate) async fn condemn(&self, client: &Arc<WsClient>) {
        let mut state = self.state.lock().await;
        if state
            .client
            .as_ref()
            .is_some_and(|held| Arc::ptr_eq(held, client))
        {
            state.client = None;
            log::info!(event = "connection_condemned", address:% = self.address; "will dial anew");
        }
    }
}

/// Opens a connection that is condemned after `silence` without a sign of life.
///
/// # Errors
///
/// Returns [`LinkError`] if no connection comes about within that time.
pub(crate) async fn dial(address: SocketAddr, silence: Duration) -> Result<WsClient, LinkError> {
    let pings = PingConfig::new()
        .ping_interval(silence / PINGS)
        .inactive_limit(silence)
        .max_failures(1);
    WsClientBuilder::new()
        .max_request_size(MAX_MESSAGE_BYTES)
        .max_response_size(MAX_MESSAGE_BYTES)
        .request_timeout(MAX_CALL)
        .connection_timeout(silence)
        .enable_ws_ping(pings)
        .build(format!("ws://{address}"))
        .await
        .map_err(|error| LinkError {
            address,
            reason: error.to_string(),
        })
}
