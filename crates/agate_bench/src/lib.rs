//! Measures the decisions: against baselines on seeded workloads, and in instructions.

pub mod batch;
pub mod cost;
pub mod report;
pub mod slopes;
pub mod state;
pub mod urgent;
