//! Supervisor trees: every long-running task has a supervisor that restarts it or escalates.

mod child;
mod policy;
mod supervisor;

pub use child::{ChildError, Restart};
pub use policy::Policy;
pub use supervisor::{Control, Escalation, Supervisor};
