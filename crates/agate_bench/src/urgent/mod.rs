//! Urgent requests: the policy against baselines on seeded workloads.
//!
//! A small discrete-event loop at the interface of the decisions. Members are fakes with slots,
//! service times and lagging load; each of several entries has a view of its own.

mod entry;
mod event;
mod member;
mod scenario;
mod summary;
mod tally;
mod world;

pub use scenario::{Fault, Plan, Repeats, Routing, Scenario};
pub use summary::run;
pub use tally::Tally;
pub use world::simulate;
