//! The agent process: listeners, supervised tasks and planned stops.

mod agent;
mod drain;
mod metrics;
mod observe;
mod rpc;
mod run;
mod tree;

pub use agent::{Agent, StartError};
pub use drain::DrainOutcome;
pub(crate) use metrics::Metrics;
pub use run::run;
