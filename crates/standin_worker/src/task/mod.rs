//! Tasks.

mod payload;
mod run;
mod status;

pub use payload::Payload;
pub(crate) use run::{BootTime, Speed, Task};
pub use status::TaskStatus;
