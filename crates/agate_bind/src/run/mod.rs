//! Batch runs of one incarnation, the resources they hold and their lease.

mod lease;
mod state;
mod table;

pub use lease::Lease;
pub use state::{Pace, RunEnd, RunEvent, RunState, RunStep, RunTransitionError};
pub use table::{RunBindOutcome, RunRefusal, RunStopOutcome, RunTable};
