//! Urgent requests: routing, attempts and outcomes.

mod attempt;
pub(crate) mod bound;
mod call;
mod deadline;
mod hedged;
mod history;
pub(crate) mod key_status;
pub(crate) mod routed;
mod router;
mod ticket;

pub(crate) use attempt::AttemptOutcome;
pub(crate) use call::{Call, CallOutcome, PriorSend};
pub(crate) use deadline::{Deadline, DeadlineExceeded};
pub(crate) use router::Router;
pub use ticket::{Ticket, TicketError, TicketSigner};
