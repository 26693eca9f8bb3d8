//! Simulation of batch work: the policy against a baseline on the same seeded workload.
//!
//! The simulation drives the decisions in steps of one second. Simulated machines limit runs to
//! their reserved processors, kill runs that exceed their reserved memory, slow down urgent work by
//! the interference of the batch classes, and report samples with a delay. Both placers get the
//! same jobs, machines and urgent load.

mod first_fit;
mod ground_truth;
mod machine;
mod placer;
mod scenario;
mod simulation;
mod stats;
mod summary;

pub use placer::PlacerKind;
pub use scenario::{DeclaredSizes, Scenario};
pub use simulation::simulate;
pub use stats::Stats;
pub use summary::run;
