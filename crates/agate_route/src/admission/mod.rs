//! Decides whether an agent starts, queues or refuses a request, and which queued request runs
//! next.
//!
//! The agent alone decides about its slots and connections; what entries know of them is a hint. A
//! running request holds one slot and one connection, a queued request holds neither. The queue is
//! short and ordered by deadline. A request that can't be answered in time is refused at once with
//! a retry-after time.

mod attempt;
mod class_state;
mod clocks;
mod control;
mod edf;
mod retry_after;
mod rules;

pub use attempt::{
    AdmissionDecision, AttemptKey, AttemptOutcome, CancelOutcome, Dropped, Offer, QueueUpdate,
    Refused, StartCheck,
};
pub use clocks::{Clocks, MAX_TICK_INTERVAL};
pub use control::{AdmissionControl, Limits};
