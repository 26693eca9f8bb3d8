//! Streams of the log.

use agate_core::hash::stable_hash;

/// Number of streams over which the orders are spread. Few agents share a stream, but a new leader
/// has to read them all.
pub const ORDER_STREAMS: u16 = 36;

/// An ordered sequence of records.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Stream {
    /// Jobs, ends of runs, worker reports and heartbeats of the leader.
    Main,
    /// Orders for agents and suspicions of their workers, written by the leader only.
    Orders(u16),
    /// The operator's configuration, which the system never writes.
    Config,
}

/// Returns the stream with the orders for a worker.
pub fn order_stream(worker: &str) -> Stream {
    let number = stable_hash(&[worker.as_bytes()]) % u64::from(ORDER_STREAMS);
    Stream::Orders(u16::try_from(number).unwrap_or(0))
}
