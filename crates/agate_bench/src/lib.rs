//! Measures the decisions: against baselines on seeded workloads, and in instructions.

pub mod report;
pub mod urgent;
