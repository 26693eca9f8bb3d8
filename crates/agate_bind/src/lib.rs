//! What one incarnation of an agent remembers of the keys and runs bound to it.
//!
//! Both tables are pure: they do no I/O and read no clock. Each change is a named transition that
//! either holds or is refused with a reason; nothing bound is ever forgotten in a way that would
//! let it start a second time.

pub mod key;
pub mod run;

pub use key::{KeyBindOutcome, KeyLimits, KeyRefusal, KeyStatus, KeyTable};
pub use run::{
    Lease, Pace, RunBindOutcome, RunEnd, RunEvent, RunRefusal, RunState, RunStep, RunStopOutcome,
    RunTable,
};
