//! The agent: a process that runs beside each backend server and each worker.
//!
//! It alone allocates its host's slots, connections and resources. It announces itself to entries,
//! serves the requests and runs that they send, and remembers every key and run bound to it.

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
