//! Whether an agent starts, queues or refuses a request, and which waiting request is next.
//!
//! The agent is the only authority on its slots and connections; entries hold hints. A running
//! request holds one slot and one connection, a waiting one holds neither. The queue is short,
//! ordered by deadline, and whatever can't be answered in time is refused at once with a time to
//! come back.

mod attempt;
mod clocks;
mod control;
mod edf;
mod lane;
mod retry_after;
mod rules;

pub use attempt::{
    AdmissionDecision, AttemptKey, AttemptOutcome, CancelOutcome, Dropped, Offer, QueueUpdate,
    Refused, StartCheck,
};
pub use clocks::{Clocks, MAX_TICK_INTERVAL};
pub use control::{AdmissionControl, Limits};
