//! Allocation of free ports on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// First port of the range. The range is below the ephemeral ports, which start at 32768, so that
/// no outgoing connection takes a port before the process that is to listen on it has started.
const FIRST_PORT: u16 = 10_000;

/// End of the range, exclusive.
const END_PORT: u16 = 30_000;

/// Number of ports claimed together. A claim listens on the first port of its block for as long as
/// the others are in use, so that concurrent drivers never share a port.
const BLOCK_PORTS: u16 = 50;

/// Allocates ports on loopback, each at most once.
#[derive(Debug)]
pub struct Ports {
    next: u16,
    end: u16,
    claims: Vec<TcpListener>,
}

impl Ports {
    /// Creates an allocator without ports; blocks are claimed on demand.
    pub const fn new() -> Self {
        Self {
            next: 0,
            end: 0,
            claims: Vec::new(),
        }
    }

    /// Returns the next address that no process listens on.
    ///
    /// # Errors
    ///
    /// Fails if every port is taken.
    pub fn free(&mut self) -> io::Result<SocketAddr> {
        loop {
            if self.next == self.end {
                self.claim_block()?;
            }
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }

    /// Claims a block that no other driver has claimed.
    fn claim_block(&mut self) -> io::Result<()> {
        for first in (FIRST_PORT..END_PORT).step_by(usize::from(BLOCK_PORTS)) {
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                self.claims.push(claim);
                self.next = first + 1;
                self.end = first + BLOCK_PORTS;
                return Ok(());
            }
        }
        Err(io::Error::from(io::ErrorKind::AddrInUse))
    }
}

impl Default for Ports {
    fn default() -> Self {
        Self::new()
    }
}
