//! The processes that schedule jobs over a keyed log. Entries answer callers, and one of them, the
//! leader, places tasks; agents run the tasks on their workers.
//!
//! Entries and agents communicate only through the log. A process that the log does not serve makes
//! its calls to the log through an entry ([`relay`]).

mod admission;
pub mod agent;
mod appender;
mod clock;
pub mod entry;
pub mod metrics;
mod outage;
pub mod relay;
mod skipped;
pub mod store;
mod zones;

pub use appender::{Appender, AppenderError, Urgency};
pub use zones::ParseZone;
