//! Lanes of the log.

use agate_core::hash::stable_hash;

/// Number of lanes over which the orders for agents are spread: few agents share one, and an entry
/// that takes over scheduling reads them all.
pub const ORDER_STREAMS: u16 = 36;

/// A sequence of records with one order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Stream {
    /// Jobs, ends of runs, reports on workers and signs of life of the scheduling entry.
    Main,
    /// Orders for agents and standings of their workers; written by the scheduling entry only.
    Orders(u16),
    /// The operator's configuration; never written by the system.
    Config,
}

/// The lane with the orders for a worker.
pub fn order_stream(worker: &str) -> Stream {
    let lane = stable_hash(&[worker.as_bytes()]) % u64::from(ORDER_STREAMS);
    Stream::Orders(u16::try_from(lane).unwrap_or(0))
}
