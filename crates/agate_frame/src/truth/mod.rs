//! What really ran, by the records of backend servers and workers, and what must hold of it.

mod batch;
mod record;
mod urgent;

pub use batch::{overlaps, repeated_runs, tasks_finished};
pub use record::{Truth, gather};
pub use urgent::{runs_by_body, runs_by_key};
