//! Bodies of responses that are being sent.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Bytes of the bodies that are being sent.
#[derive(Debug, Clone, Default)]
pub(super) struct InFlight(Arc<AtomicUsize>);

impl InFlight {
    /// Returns the number of bytes.
    pub fn bytes(&self) -> usize {
        self.0.load(Ordering::Relaxed)
    }

    /// Counts a body until it is dropped.
    pub fn add(&self, body: Vec<u8>) -> OutgoingBody {
        self.0.fetch_add(body.len(), Ordering::Relaxed);
        OutgoingBody {
            body,
            in_flight: self.clone(),
        }
    }
}

/// The body of a response to another process.
#[derive(Debug)]
pub struct OutgoingBody {
    body: Vec<u8>,
    in_flight: InFlight,
}

impl AsRef<[u8]> for OutgoingBody {
    fn as_ref(&self) -> &[u8] {
        &self.body
    }
}

impl Drop for OutgoingBody {
    fn drop(&mut self) {
        let bytes = self.body.len();
        self.in_flight.0.fetch_sub(bytes, Ordering::Relaxed);
    }
}
