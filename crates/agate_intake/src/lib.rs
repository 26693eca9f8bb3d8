//! Limits what clients may hold of a process: connections, and the bytes of requests and responses
//! that aren't complete.
//!
//! [`Table`] decides which connection is closed when a limit is reached. [`Intake`] shares one table
//! among all listeners of a process, and a [`Ticket`] reports what happens on a connection.

mod cause;
mod intake;
mod limits;
mod phase;
mod stream;
mod table;
mod ticket;

pub use cause::Cause;
pub use intake::{Census, Intake};
pub use limits::{Limits, MachineError};
pub use phase::Phase;
pub use stream::CountedStream;
pub use table::{Admission, ConnectionKey, Reuse, Table};
pub use ticket::{Closed, Ticket};
