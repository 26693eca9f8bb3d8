//! Urgent requests: the policy against baselines on seeded workloads.
//!
//! A small discrete-event loop at the interface of the decisions. Members are fakes with slots,
//! service times and lagging load; each of several entries has a view of its own.

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
