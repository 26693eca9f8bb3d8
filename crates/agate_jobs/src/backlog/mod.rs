//! Planning of a backlog: the order of best-effort jobs when a service can't end all of them in
//! time.
//!
//! The functions of this module decide over a view of the open jobs. The scheduler keeps the
//! newest plan and asks for another at most every [`plan::PERIOD`].

mod open_job;
mod order;
pub(crate) mod plan;
mod run_time;
mod select;
mod speed;
mod standing;
mod straggler;
mod summary;

pub(crate) use open_job::LATE_FACTOR;
pub use open_job::OpenJob;
pub use order::BatchOrder;
pub use plan::Plan;
pub use run_time::{RunTimes, median};
pub use select::select;
pub(crate) use speed::{MIN_SPEED, min_speed};

pub use standing::Standing;
pub(crate) use straggler::Part;
pub use summary::{StandingChange, Summary};
