//! Startup errors.

use std::net::SocketAddr;

use displaydoc::Display;

/// Reason why an entry could not start.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum StartError {
    /// can't listen on {address}: {cause}
    Listen {
        /// The configured address.
        address: SocketAddr,
        /// The operating system's error.
        cause: String,
    },
    /// {0}
    Tracer(String),
    /// two endpoints clash: {0}
    Api(String),
}

impl std::error::Error for StartError {}
