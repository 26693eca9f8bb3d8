//! Benchmarks of the scheduling decisions: simulations against baselines and instruction counts.

pub mod batch;
pub mod cost;
pub mod report;
pub mod shared;
pub mod slopes;
pub mod state;
pub mod urgent;
