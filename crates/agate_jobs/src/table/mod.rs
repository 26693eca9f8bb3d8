//! Job and worker state, folded from the records of the main stream.

mod ended_run;
mod fold;
mod job;
mod progress;
mod state;

pub use fold::{Change, JobTable, Leader};
pub use job::Job;
pub(crate) use job::follows;
pub use progress::{StepProgress, TaskProgress};
pub use state::JobState;
