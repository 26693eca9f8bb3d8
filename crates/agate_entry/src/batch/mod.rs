//! Batch work: placement of tasks and the lifecycle of their runs.
//!
//! The log decides; the scheduler only proposes. Every run is bound by a record, started once the
//! fold shows that the binding took effect, and ended by a record.

mod dispatch;
mod events;
mod give_up;
mod lease;
mod lease_bound;
mod ownership;
mod place;
mod reap;
mod reconcile;
mod refill;
mod report;
mod shared;

pub(crate) use dispatch::dispatch;
pub(crate) use events::{on_folded, rebuild};
pub(crate) use lease::lease;
pub use lease_bound::LeaseBound;
pub(crate) use ownership::rehome;
pub(crate) use place::place;
pub(crate) use reap::reap;
pub(crate) use reconcile::{add_worker, reconcile, remove_worker};
pub(crate) use refill::refill;
pub(crate) use report::report;
pub(crate) use shared::Batch;
