//! The worker's API.

mod handlers;
mod types;

pub(crate) use handlers::describe;
