//! The connection to peers, as an interface.

use std::fmt::Debug;
use std::net::SocketAddr;
use std::time::Duration;

use async_trait::async_trait;
use displaydoc::Display;

use super::protocol::{RelayRequest, RelayResponse};

/// Why a request got no response.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum TransportError {
    /// the request was not sent: {0}
    NotSent(String),
    /// no complete response: {0}
    Unanswered(String),
}

impl std::error::Error for TransportError {}

/// Sends requests to peers. Implementations don't retry.
#[async_trait]
pub trait Transport: Debug + Send + Sync {
    /// Sends a request once. `limit` applies until the response begins.
    ///
    /// # Errors
    ///
    /// Returns [`TransportError`] if there is no complete response.
    async fn call(
        &self,
        peer: SocketAddr,
        request: RelayRequest,
        limit: Duration,
    ) -> Result<RelayResponse, TransportError>;
}
