//! A test cluster: the processes of a small site.

mod cluster;
mod launch;
mod layout;
mod node;
mod wait;

pub use cluster::{Cluster, ClusterError, OPERATOR_TOKEN};
pub use layout::{Layout, Zone};
pub use node::{BackendNode, EntryNode, WorkerNode};
pub use wait::wait_until;
