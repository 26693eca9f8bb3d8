//! The leader's decisions: which worker runs a task, and when a worker is given up.

mod choose;
mod effect;
mod health;
mod interference;
mod last_contact;
mod misses;
mod moves;
mod obstacle;
mod order;
mod pause;
mod place;
mod restore;
mod scheduler;
mod short_waits;
mod starved;
mod suspects;
mod suspicion;
mod suspicion_times;
mod unstarted;
mod usage;
mod waits;
mod withdrawal;
mod worker;

pub use effect::Effect;
pub use health::Trust;
pub use last_contact::LastContact;
pub use obstacle::{Obstacle, Obstacles};
pub use pause::{Pause, Pauses};
pub use restore::{Known, Restore};
pub use scheduler::{Placement, Scheduler};
pub use short_waits::{Load, ShortWait};
pub use suspicion::SUSPECT_AFTER;
pub use suspicion_times::SuspicionTimes;
pub use unstarted::{OldestUnstarted, Unstarted};
pub use waits::LongWait;
pub use withdrawal::{ZoneChange, ZoneRuns};
