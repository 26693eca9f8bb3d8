//! Ejects members that serve badly, sends them only probes, and reinstates them after recovery.
//!
//! A member is ejected if its latency is a multiple of the median latency of a class, or if it
//! fails several times in a row. Each further ejection lasts longer, and an ejection ends through
//! successful probes. Only a configured share of the members may be ejected, because a problem that
//! affects most members is not an outlier.

mod detector;
mod health;
mod probe_queue;

pub use detector::OutlierDetector;
