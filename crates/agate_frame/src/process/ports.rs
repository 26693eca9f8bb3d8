//! Free ports on loopback.

use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};

/// The first port handed out. Outgoing connections take theirs from 32768 upwards, so a port below
/// stays free between its choice and the start of the process that listens on it.
const FIRST: u16 = 10_000;

/// The first port that is not handed out any more.
const END: u16 = 30_000;

/// Ports kept apart for each process that hands them out.
const STRIDE: u32 = 200;

/// Hands out ports on loopback, each once.
#[derive(Debug)]
pub struct Ports {
    next: u16,
}

impl Ports {
    /// Starts at a port that depends on the process, so that two drivers rarely meet.
    pub fn new() -> Self {
        let span = u32::from(END - FIRST);
        let offset = std::process::id().wrapping_mul(STRIDE) % span;
        Self {
            next: FIRST + u16::try_from(offset).unwrap_or(0),
        }
    }

    /// Finds the next address that nobody listens on.
    ///
    /// # Errors
    ///
    /// Fails if every port is taken.
    pub fn free(&mut self) -> io::Result<SocketAddr> {
        for _ in FIRST..END {
            let address = SocketAddr::from((Ipv4Addr::LOCALHOST, self.next));
            self.next = if self.next + 1 < END {
                self.next + 1
            } else {
                FIRST
            };
            if TcpListener::bind(address).is_ok() {
                return Ok(address);
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
