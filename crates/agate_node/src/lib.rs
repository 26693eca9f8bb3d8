//! The processes that schedule jobs over a keyed log: entries, which answer callers and of which
//! one places tasks, and agents, which run them on their workers.
//!
//! The log is the only meeting place. Entries and agents don't call each other.

pub mod agent;
mod appender;
mod clock;
pub mod entry;
pub mod metrics;
pub mod store;
mod watch;

pub use appender::{Appender, RecordError, Urgency};
