//! Free ports on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// Finds an address on loopback that nobody listens on.
///
/// # Errors
///
/// Fails if no port is free.
pub fn free_port() -> io::Result<SocketAddr> {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?.local_addr()
}
