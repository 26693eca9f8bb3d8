//! Simulation of urgent requests: the policy against baselines on seeded workloads.
//!
//! A discrete-event simulation drives the decisions. Simulated members have slots and service
//! times, and their load reaches the entries with a delay. Each entry has its own view.

mod entry;
mod event;
mod member;
mod scenario;
mod simulation;
mod stats;
mod summary;

pub use scenario::{Fault, RetryPolicy, RoutingPolicy, Scenario, Strategy};
pub use simulation::simulate;
pub use stats::Stats;
pub use summary::run;
