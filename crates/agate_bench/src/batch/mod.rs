//! Batch work: the policy against a baseline on one seeded workload.
//!
//! Time advances in steps of a second at the interface of the decisions. A machine is a fake that
//! gives processors up to what a run was given, ends runs that outgrow their memory, slows urgent
//! work by the pairs that run, and reports all of it late. Both subjects see the same jobs, machines
//! and urgent load.

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
