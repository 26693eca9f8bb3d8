//! An entry's view of the agents: which agents are known, which may get new work, and their load.
//!
//! Members announce themselves and send heartbeats. The sets of members that may get new work are
//! updated on every change, so that sampling candidates costs the same for 10 or 21,000 members.
//! This crate does no I/O and reads no clock.

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
