//! Decisions of the scheduling entry: which task runs where, and when a worker is given up.

mod adopt;
mod choose;
mod effect;
mod health;
mod heard;
mod place;
mod pressures;
mod scheduler;
mod suspect;
mod worker;

pub use effect::Effect;
pub use heard::Heard;
pub use scheduler::{Placed, Scheduler};
pub use suspect::SUSPECT_AFTER;
