//! Bindings of bare idempotency keys, kept in a stream of their own.

mod bind;
mod follow;
mod table;

pub(crate) use bind::{BindError, bind};
pub(crate) use follow::follow;
pub(crate) use table::KeyTable;
