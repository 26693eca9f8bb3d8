//! The configuration in force, as known to this entry.

mod current;
mod push;

pub(crate) use current::CurrentConfig;
pub(crate) use push::push;
