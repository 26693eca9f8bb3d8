//! The entry accepts requests and jobs from callers, routes requests to backend servers, places
//! tasks on workers, and applies operators' changes.

mod app;
mod batch;
mod clock;
mod config;
mod entry;
mod http;
mod keys;
mod ledger;
mod members;
mod metrics;
mod rpc;
mod settings;
mod urgent;

pub use app::{EntryConfig, Running, Shutdown, ShutdownOutcome, StartError, start};
pub use batch::LeaseBound;
pub use entry::Limits;
pub use settings::{EntrySetting, PROGRAM};
pub use urgent::{Ticket, TicketError, TicketSigner};
