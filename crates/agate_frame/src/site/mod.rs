//! The processes of a small site.

mod launch;
mod layout;
mod node;
mod processes;
mod wait;

pub use layout::{Layout, Zone};
pub use node::{BackendNode, EntryNode, WorkerNode};
pub use processes::{Frame, FrameError, OPERATOR_TOKEN};
pub use wait::until;
