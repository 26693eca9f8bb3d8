//! Known entries and the connections to them.

mod connect;
mod directory;
mod heartbeat;
mod link;
mod links;
mod seeds;

pub(crate) use directory::Directory;
pub(crate) use links::maintain_links;
pub(crate) use seeds::maintain_registration;
