//! Connections kept for reuse.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Semaphore;

use super::connection::Connection;

/// Connections to one address, never more than a limit, those being closed included.
///
/// The pool holds no request and so can't send one twice.
#[derive(Debug)]
pub(crate) struct Pool {
    address: SocketAddr,
    idle: Mutex<Vec<Connection>>,
    permits: Arc<Semaphore>,
}

impl Pool {
    pub(crate) fn new(address: SocketAddr, limit: u32) -> Self {
        let limit = usize::try_from(limit).unwrap_or(Semaphore::MAX_PERMITS);
        Self {
            address,
            idle: Mutex::new(Vec::new()),
            permits: Arc::new(Semaphore::new(limit.min(Semaphore::MAX_PERMITS))),
        }
    }

    pub(crate) const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that is still open, or opens one.
    pub(crate) async fn take(&self) -> Result<Connection, String> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let permit = Arc::clone(&self.permits)
            .acquire_owned()
            .await
            .map_err(|error| error.to_string())?;
        Connection::open(self.address, permit).await
    }

    /// Keeps a connection for the next exchange.
    pub(crate) fn put(&self, mut connection: Connection) {
        connection.mark_used();
        self.lock().push(connection);
    }

    /// Takes the idle connection used last, and drops those that can't be used any more.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(Connection::is_usable);
        idle.pop()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
