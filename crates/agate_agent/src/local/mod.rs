//! HTTP/1.1 client for the backend server or worker on the same machine.

mod backend;
mod connection;
mod exchange;
mod pool;
mod worker;

pub(crate) use backend::{Backend, ForwardRequest};
pub(crate) use exchange::ExchangeError;
pub(crate) use worker::{TaskStart, TaskStatus, WorkerClient, WorkerError, WorkerUsage};
