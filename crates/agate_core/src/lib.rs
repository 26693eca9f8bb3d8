//! Types shared by all crates: ids, time, resources, names, findings and trace contexts.
//!
//! Nothing here performs I/O except [`clock`], which reads the machine's clocks.

pub mod clock;
pub mod finding;
pub mod hash;
pub mod ids;
pub mod kind;
pub mod moment;
pub mod names;
pub mod page_size;
pub mod resources;
pub mod trace;

pub use finding::{Finding, Findings};
pub use ids::{Incarnation, JobId, Key, Offset, Position, RecordId, RunId, TaskId, Version};
pub use kind::{Host, Outcome, Urgency};
pub use moment::Moment;
pub use names::{CallerName, ClassName, RegionName, Site, Tag, TeamName, ZoneName};
pub use page_size::{PageResult, PageSize};
pub use resources::Resources;
pub use trace::TraceContext;
