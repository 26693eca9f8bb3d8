//! Urgent requests: choice of a backend server, attempts, and what the caller is told.

mod attempt;
pub(crate) mod bound;
mod call;
pub(crate) mod chosen;
mod deadline;
pub(crate) mod fate;
mod hedged;
mod router;
mod ticket;
mod tried;

pub(crate) use attempt::Attempt;
pub(crate) use call::{Call, Ending, Sent};
pub(crate) use deadline::{Deadline, Passed};
pub(crate) use router::Router;
pub use ticket::{Ticket, TicketError, TicketSigner};
