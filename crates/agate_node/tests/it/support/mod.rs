//! Fakes of the log and of a worker, and processes that use them.

mod cluster;
mod log;
mod worker;

pub(crate) use cluster::{Caller, Cluster, REPLACE_TIME, one_task, until};
pub(crate) use log::Fault;
pub(crate) use worker::{Behavior, FakeWorker};
