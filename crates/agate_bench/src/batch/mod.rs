//! Batch work: the policy against a baseline on one seeded workload.
//!
//! Time advances in steps of a second at the interface of the decisions. A machine is a fake that
//! gives processors up to what a run was given, ends runs that outgrow their memory, slows urgent
//! work by the pairs that run, and reports all of it late. Both subjects see the same jobs, machines
//! and urgent load.

mod first_fit;
mod machine;
mod scenario;
mod subject;
mod summary;
mod tally;
mod truth;
mod world;

pub use scenario::{Declared, Scenario};
pub use subject::Kind;
pub use summary::run;
pub use tally::Tally;
pub use world::simulate;
