//! Fakes of the log and of a worker, and processes that use them.

mod log;
mod site;
mod worker;

pub(crate) use log::Fault;
pub(crate) use site::{Caller, REPLACE_TIME, Site, one_task, until};
pub(crate) use worker::{FakeWorker, Manner};
