//! Batch runs of one incarnation, their room and their lease.

mod lease;
mod state;
mod table;

pub use lease::Lease;
pub use state::{Pace, RunEnd, RunEvent, RunRejected, RunState, Step};
pub use table::{RunBind, RunRefusal, RunStop, RunTable};
