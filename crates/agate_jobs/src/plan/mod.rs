//! The leader's decisions: which worker runs a task, and when a worker is given up.

mod choose;
mod effect;
mod health;
mod interference;
mod last_contact;
mod misses;
mod moves;
mod order;
mod place;
mod restore;
mod scheduler;
mod suspects;
mod suspicion;
mod suspicion_times;
mod waits;
mod withdrawal;
mod worker;

pub use effect::Effect;
pub use last_contact::LastContact;
pub use restore::{Known, Restore};
pub use scheduler::{Placement, Scheduler};
pub use suspicion::SUSPECT_AFTER;
pub use suspicion_times::SuspicionTimes;
pub use waits::LongWait;
pub use withdrawal::{ZoneChange, ZoneRuns};
