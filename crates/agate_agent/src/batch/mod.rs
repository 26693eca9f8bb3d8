//! Batch runs: start, hold under a lease, stop and report.

mod clear;
mod hold;
mod lose;
mod report;
mod start;
pub(crate) mod status;
mod stop;
mod usage;
mod withdraw;

pub(crate) use clear::until_clear;
pub(crate) use lose::lose;
pub(crate) use start::start;
pub(crate) use stop::{evict_all, stop};
pub(crate) use usage::{Reading, keep_reading};
pub(crate) use withdraw::keep_applying;
