//! Records of backend servers and workers about what actually ran, and queries on them.

mod batch;
mod gather;
mod urgent;

pub use batch::{count_finished_tasks, find_overlaps, find_repeated_runs};
pub use gather::{RunRecords, gather_records};
pub use urgent::{count_runs_by_body, count_runs_by_key};
