//! Streams of the log.

use agate_core::hash::stable_hash;

/// Number of streams over which the orders are spread. Each append wakes every agent that shares the
/// stream. A new leader reads only the streams of known workers.
pub const ORDER_STREAMS: u16 = 240;

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

/// Returns the stream with the orders for a worker, given the number of order streams.
pub fn order_stream(worker: &str, streams: u16) -> Stream {
    let number = stable_hash(&[worker.as_bytes()]) % u64::from(streams.max(1));
    Stream::Orders(u16::try_from(number).unwrap_or(0))
}
