//! Simulation of workers that serving and best-effort tasks share: the scheduler and the pacer
//! against a baseline on the same seeded load.
//!
//! The load is that of the large deployment: long-running serving tasks reserve nearly all
//! processors and leave more than half of them idle, and wide best-effort jobs use what is left. The
//! simulation departs from real workers in that orders and reports are never lost, workers don't
//! fail, and all tasks of an image interfere alike.

mod backlog;
mod load;
mod scenario;
mod simulation;
mod stats;
mod summary;
mod truth;
mod worker;

pub use backlog::{capacity, run as run_backlog};
pub use load::Load;
pub use scenario::{Knowledge, Scenario};
pub use simulation::simulate;
pub use stats::Stats;
pub use summary::run;
