//! Free ports on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The first port handed out. Outgoing connections take theirs from 32768 upwards, so a port below
/// stays free between its choice and the start of the process that listens on it.
const FIRST: u16 = 10_000;

/// The first port that is not handed out any more.
const END: u16 = 30_000;

/// Ports that are claimed together. The first of them is listened on for as long as the others are
/// in use, so that drivers that run at the same time never share one.
const BLOCK: u16 = 50;

/// Hands out ports on loopback, each once.
#[derive(Debug)]
pub struct Ports {
    next: u16,
    end: u16,
    claims: Vec<TcpListener>,
}

impl Ports {
    /// Without ports; they are claimed as they are needed.
    pub const fn new() -> Self {
        Self {
            next: 0,
            end: 0,
            claims: Vec::new(),
        }
    }

    /// Finds the next address that nobody listens on.
    ///
    /// # Errors
    ///
    /// Fails if every port is taken.
    pub fn free(&mut self) -> io::Result<SocketAddr> {
        loop {
            if self.next == self.end {
                self.claim()?;
            }
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next += 1;
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
            }
        }
    }

    /// Claims a block that no driver has claimed.
    fn claim(&mut self) -> io::Result<()> {
        for first in (FIRST..END).step_by(usize::from(BLOCK)) {
            if let Ok(claim) = TcpListener::bind((Ipv4Addr::LOCALHOST, first)) {
                self.claims.push(claim);
                self.next = first + 1;
                self.end = first + BLOCK;
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
