//! Settings of the agent.

mod config;
mod describe;

pub use config::AgentConfig;
pub use describe::{AgentSetting, PROGRAM};
