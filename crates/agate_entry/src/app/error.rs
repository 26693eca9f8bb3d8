//! Why an entry does not start.

use std::net::SocketAddr;

use displaydoc::Display;

/// Why an entry does not start.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StartError {
    /// can't listen on {address}: {cause}
    Listen {
        /// The address from the settings.
        address: SocketAddr,
        /// What the system said.
        cause: String,
    },
    /// {0}
    Tracer(String),
    /// two endpoints clash: {0}
    Api(String),
}

impl std::error::Error for StartError {}
