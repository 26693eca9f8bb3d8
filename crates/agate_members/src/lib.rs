//! An entry's view of the agents: who is there, who may get new work, and how loaded each one is.
//!
//! Members announce themselves and are kept alive by heartbeats. Sets of members that may get new
//! work are kept up to date on every change, so that drawing candidates costs the same whether ten
//! or 21,000 members are known. Nothing here does I/O or reads a clock.

mod check_queue;
mod heartbeat_interval;
mod member;
mod occupancy;
mod pool;
mod scope;
mod site;
mod site_summary;
mod tombstones;
mod view;

pub use heartbeat_interval::{REMOTE_INTERVAL_FACTOR, first_heartbeat_delay, next_heartbeat_delay};
pub use member::{LoadSample, Member, MemberKey, MemberStatus};
pub use occupancy::Occupancy;
pub use scope::Scope;
pub use site_summary::SiteSummary;
pub use view::{AnnounceOutcome, CandidateQuery, FillState, MembershipChange, View};
