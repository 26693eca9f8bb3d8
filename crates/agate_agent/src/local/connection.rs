//! One HTTP connection.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::{Instant, timeout};

/// Longest time to connect to a process on the same machine.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Idle time after which a connection is not reused, since servers close idle connections.
const MAX_IDLE: Duration = Duration::from_secs(10);

/// An open connection that carries one request at a time.
#[derive(Debug)]
pub(crate) struct Connection {
    pub(crate) sender: SendRequest<Full<Bytes>>,
    last_used: Instant,
}

impl Connection {
    /// Connects to `address`. The permit is released once the connection is closed.
    pub(crate) async fn open(
        address: SocketAddr,
        permit: OwnedSemaphorePermit,
    ) -> Result<Self, String> {
        let connect = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = match connect {
            Ok(Ok(stream)) => stream,
            Ok(Err(error)) => return Err(format!("connecting to {address} failed: {error}")),
            Err(_) => return Err(format!("connecting to {address} took too long")),
        };
        // Otherwise Nagle's algorithm delays small requests until earlier data is acknowledged.
        if let Err(error) = stream.set_nodelay(true) {
            log::debug!(event = "nodelay_failed", cause:% = error; "");
        }
        let (sender, connection_task) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| format!("connecting to {address} failed: {error}"))?;
        tokio::spawn(async move {
            if let Err(error) = connection_task.await {
                log::debug!(event = "local_connection_ended", cause:% = error; "");
            }
            drop(permit);
        });
        Ok(Self {
            sender,
            last_used: Instant::now(),
        })
    }

    /// Returns whether the connection is not known to be closed and was used recently.
    pub(crate) fn is_usable(&self) -> bool {
        !self.sender.is_closed() && self.last_used.elapsed() < MAX_IDLE
    }

    /// Records that the connection has just been used.
    pub(crate) fn mark_used(&mut self) {
        self.last_used = Instant::now();
    }
}
