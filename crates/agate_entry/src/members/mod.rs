//! Agents and entries known to this entry.

mod peers;
mod redial;
mod sweep;
mod view;

pub(crate) use peers::Peers;
pub(crate) use redial::redial;
pub(crate) use sweep::sweep;
pub(crate) use view::{MemberListing, Members, Target};
