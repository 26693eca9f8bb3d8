//! Pool of reusable connections.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};

use tokio::sync::Semaphore;

use super::connection::Connection;

/// A limited number of connections to one address; connections that are closing count as well.
///
/// The pool holds no requests, so it can't send one twice.
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

    /// Takes a usable idle connection or opens a new one.
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

    /// Returns a connection to the pool.
    pub(crate) fn put(&self, mut connection: Connection) {
        connection.mark_used();
        self.lock().push(connection);
    }

    /// Takes the most recently used idle connection and closes unusable ones.
    fn take_idle(&self) -> Option<Connection> {
        let mut idle = self.lock();
        idle.retain(Connection::is_usable);
        idle.pop()
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Vec<Connection>> {
        self.idle.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
