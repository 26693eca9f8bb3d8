//! An entry's view of the agents: who is there, who may get new work, and how loaded each one is.
//!
//! Members announce themselves and are kept alive by heartbeats. Sets of members that may get new
//! work are kept up to date on every change, so that drawing candidates costs the same whether ten
//! or 21,000 members are known. Nothing here does I/O or reads a clock.

mod digest;
mod due;
mod member;
mod occupancy;
mod pace;
mod pool;
mod scope;
mod site;
mod tombstones;
mod view;

pub use digest::SiteDigest;
pub use member::{Member, MemberKey, Reading, Standing};
pub use occupancy::Occupancy;
pub use pace::{REMOTE_FACTOR, first_heartbeat, next_heartbeat};
pub use scope::Scope;
pub use view::{Announced, Change, Draw, Fill, View};
