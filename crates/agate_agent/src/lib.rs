//! The agent: a small process beside each backend server and each worker.
//!
//! It is the only authority on its host's slots, connections and resources. It announces itself to
//! entries, serves what they send, and remembers each key and run that was bound to it.

mod backoff;
mod batch;
mod clock;
mod entries;
mod local;
mod process;
mod settings;
mod state;
mod urgent;

pub use clock::{Clock, MachineClock};
pub use process::{Agent, DrainOutcome, StartError, run};
pub use settings::{AgentConfig, AgentSetting, PROGRAM};
