//! State shared by the parts of the agent.

mod core;
mod incarnation;
mod keys;
mod policy;
mod runs;
mod samples;

pub(crate) use self::core::{Core, Phase};
pub(crate) use incarnation::Bindings;
pub(crate) use keys::{KeyStep, Keys, Outcome, OutcomeReceiver};
pub(crate) use policy::PolicyStore;
pub(crate) use runs::{RunDetails, Runs};
pub(crate) use samples::{Cursor, SampleBuffer, TimedSample};
