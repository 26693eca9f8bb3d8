//! What happens on one connection.

use std::sync::Arc;

use displaydoc::Display;
use tokio_util::sync::CancellationToken;

use crate::{ConnectionKey, Intake, Reuse};

/// the connection was closed to make room for others
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct Closed;

impl std::error::Error for Closed {}

/// An admitted connection. It is removed from the intake when the last clone is dropped.
#[derive(Debug, Clone)]
pub struct Ticket(Arc<Inner>);

#[derive(Debug)]
struct Inner {
    intake: Intake,
    key: ConnectionKey,
    closed: CancellationToken,
}

impl Drop for Inner {
    fn drop(&mut self) {
        self.intake.close(self.key);
    }
}

impl Ticket {
    pub(crate) fn new(intake: Intake, key: ConnectionKey, closed: CancellationToken) -> Self {
        Self(Arc::new(Inner {
            intake,
            key,
            closed,
        }))
    }

    /// Waits until the connection has to be closed.
    pub async fn closed(&self) {
        self.0.closed.cancelled().await;
    }

    /// Returns the number of bytes that were received so far if the client still owes a part of its
    /// request, and `None` if it doesn't.
    pub fn unfinished(&self) -> Option<u64> {
        self.0.intake.unfinished(self.0.key)
    }

    /// Returns the size of the largest body that the limits of the process allow, in bytes. The buffer of
    /// a body may be twice as large as the body.
    pub fn body_limit(&self) -> usize {
        self.0.intake.limits().bytes / 2
    }

    /// Records that the head of a request is complete.
    pub fn begin_body(&self) {
        let Inner { intake, key, .. } = &*self.0;
        intake.update(*key, |table, now| table.begin_body(*key, now));
    }

    /// Records that the buffer of a body has grown by this many bytes.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the connection has to be closed.
    pub fn grow(&self, bytes: usize) -> Result<(), Closed> {
        let Inner { intake, key, .. } = &*self.0;
        let is_open = intake.update(*key, |table, _| table.grow(*key, bytes));
        if is_open { Ok(()) } else { Err(Closed) }
    }

    /// Records that the request is complete. From now on it may take effect, and the connection is not
    /// closed before its response is ready.
    ///
    /// # Errors
    ///
    /// Returns [`Closed`] if the connection has to be closed; the request must not take effect.
    pub fn complete(&self) -> Result<(), Closed> {
        let Inner { intake, key, .. } = &*self.0;
        let is_open = intake.update(*key, |table, now| table.complete(*key, now));
        if is_open { Ok(()) } else { Err(Closed) }
    }

    /// Records that a response with a body of this many bytes is ready. Returns whether the connection
    /// may be used for another request.
    pub fn begin_response(&self, bytes: usize) -> Reuse {
        let Inner { intake, key, .. } = &*self.0;
        let mut reuse = Reuse::Allowed;
        intake.update(*key, |table, now| {
            reuse = table.begin_response(*key, bytes, now);
        });
        reuse
    }

    /// Records bytes that were received.
    pub fn receive(&self, bytes: usize) {
        let Inner { intake, key, .. } = &*self.0;
        intake.update(*key, |table, now| table.receive(*key, bytes, now));
    }

    pub(crate) fn send(&self, bytes: usize) {
        let Inner { intake, key, .. } = &*self.0;
        intake.update(*key, |table, _| table.send(*key, bytes));
    }

    pub(crate) fn flush(&self) {
        let Inner { intake, key, .. } = &*self.0;
        intake.update(*key, |table, now| table.flush(*key, now));
    }
}
