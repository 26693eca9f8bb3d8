//! Fakes of the log and of a worker, and a cluster that uses them.

mod cluster;
mod log;
mod network;
mod worker;

pub(crate) use cluster::{
    Caller, Cluster, MAX_LEASE, MAX_REPLACE_TIME, STOP_LIMIT, UNKNOWN_PATH, WITHDRAWAL_BOUND,
    job_id, large_configuration, one_task_job, wait_until,
};
pub(crate) use log::{FakeLog, Fault, LATE_APPEND_TIME, SlowLink};
pub(crate) use network::{Link, Network, address};
pub(crate) use worker::{Behavior, FakeWorker, StartOutcome, address_of};
