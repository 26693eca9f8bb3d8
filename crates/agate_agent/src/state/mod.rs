//! What the parts of the agent share.

mod core;
mod incarnation;
mod keys;
mod policy;
mod runs;
mod samples;

pub(crate) use self::core::{Core, Phase};
pub(crate) use incarnation::Bound;
pub(crate) use keys::{Attempt, KeyStep, Keys, Outcome};
pub(crate) use policy::Policy;
pub(crate) use runs::{Detail, Runs};
pub(crate) use samples::{Cursor, Samples, Timed};
