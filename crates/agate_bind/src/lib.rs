//! State of the idempotency keys and batch runs bound to one incarnation of an agent.
//!
//! The tables do no I/O and read no clock. Every change is a named state transition that is either
//! applied or rejected. Forgetting a key or run never allows it to start a second time.

pub mod key;
pub mod run;

pub use key::{KeyBindOutcome, KeyLimits, KeyRefusal, KeyStatus, KeyTable};
pub use run::{
    Lease, Pace, RunBindOutcome, RunEnd, RunEvent, RunRefusal, RunState, RunStep, RunStopOutcome,
    RunTable,
};
