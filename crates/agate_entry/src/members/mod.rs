//! The agents that this entry knows.

mod peers;
mod redial;
mod sweep;
mod table;

pub(crate) use peers::Peers;
pub(crate) use redial::redial;
pub(crate) use sweep::sweep;
pub(crate) use table::{Listed, Members, Target};
