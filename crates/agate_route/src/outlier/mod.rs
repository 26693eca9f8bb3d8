//! Which members serve so badly that they get only probes, and when they are back.
//!
//! A member is ejected if its answers take a multiple of the median of their class, or if it fails
//! several times in a row. Ejections last longer each time, end by probes, and never take out more
//! than a set share of the members: what hits everyone is no outlier.

mod detector;
mod record;
mod waiting;

pub use detector::OutlierDetector;
