//! Limits of what clients may hold.

use std::time::Duration;

use bon::Builder;
use displaydoc::Display;

/// Memory that a connection takes without a request: buffers of the server, and of the kernel for
/// bytes that were received and not yet read.
const CONNECTION_BYTES: usize = 32 * 1_024;

/// Descriptors that are kept for files.
const FILE_DESCRIPTORS: usize = 200;

/// Limits of a process.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Builder)]
pub struct Limits {
    /// Most connections of clients.
    #[builder(default = 1_024)]
    pub connections: usize,
    /// Most bytes of unfinished requests and responses, of all connections together.
    #[builder(default = 64 << 20)]
    pub bytes: usize,
    /// Time limit for the head of a request, from its first byte.
    #[builder(default = Duration::from_secs(15))]
    pub head_time: Duration,
    /// Time in which a body or a response has to move by [`stall_bytes`](Self::stall_bytes).
    #[builder(default = Duration::from_secs(15))]
    pub stall_time: Duration,
    /// Progress below which a body or a response stalls, in bytes per [`stall_time`](Self::stall_time).
    #[builder(default = 4_096)]
    pub stall_bytes: usize,
    /// Time for which a connection may be without a request.
    #[builder(default = Duration::from_mins(1))]
    pub idle_time: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self::builder().build()
    }
}

/// a machine with {memory} bytes of memory and {descriptors} descriptors is too small for clients
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct MachineError {
    /// Memory of the process, in bytes.
    pub memory: usize,
    /// Descriptors of the process.
    pub descriptors: usize,
}

impl std::error::Error for MachineError {}

impl Limits {
    /// Returns the limits of a process with this many bytes of memory and descriptors.
    ///
    /// A quarter of the memory is for connections and an eighth for unfinished requests; the rest is for
    /// what the process itself holds. Half of the descriptors that aren't for files is for clients;
    /// the rest is for connections to the store, to workers and to other processes.
    ///
    /// # Errors
    ///
    /// Returns [`MachineError`] if nothing is left for clients.
    pub fn of_machine(memory: usize, descriptors: usize) -> Result<Self, MachineError> {
        let by_memory = memory / 4 / CONNECTION_BYTES;
        let by_descriptors = descriptors.saturating_sub(FILE_DESCRIPTORS) / 2;
        let connections = by_memory.min(by_descriptors);
        if connections == 0 {
            return Err(MachineError {
                memory,
                descriptors,
            });
        }
        Ok(Self::builder()
            .connections(connections)
            .bytes(memory / 8)
            .build())
    }
}
