//! Bindings of keys sent without a ticket, kept in their own stream.

mod bind;
mod follow;
mod table;

pub(crate) use bind::{BindError, bind};
pub(crate) use follow::follow;
pub(crate) use table::KeyTable;
