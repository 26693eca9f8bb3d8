//! Batch runs: start, supervision under a lease, stop and report.

mod clear;
mod hold;
mod loss;
mod report;
mod start;
pub(crate) mod status;
mod stop;
mod usage;
mod withdraw;

pub(crate) use clear::clear_worker;
pub(crate) use loss::mark_incarnation_lost;
pub(crate) use start::start;
pub(crate) use stop::{evict_all, stop};
pub(crate) use usage::{UsageReading, poll_usage};
pub(crate) use withdraw::apply_config_changes;
