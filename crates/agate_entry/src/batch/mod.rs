//! Batch work: which task runs where, and what becomes of its runs.
//!
//! The log decides; the scheduler only proposes. Every run is bound by a record, started because
//! the fold says that the binding counts, and ended by a record.

mod dispatch;
mod events;
mod give_up;
mod home;
mod lease;
mod lease_bound;
mod place;
mod reap;
mod reconcile;
mod refill;
mod report;
mod table;

pub(crate) use dispatch::dispatch;
pub(crate) use events::{on_folded, rebuild};
pub(crate) use home::rehome;
pub(crate) use lease::lease;
pub use lease_bound::LeaseBound;
pub(crate) use place::place;
pub(crate) use reap::reap;
pub(crate) use reconcile::{joined, left, reconcile};
pub(crate) use refill::refill;
pub(crate) use report::report;
pub(crate) use table::Batch;
