//! What an entry offers to agents and to other entries.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::message::{Heartbeat, HeartbeatAck, Hello, ReportAck, RunReport, Welcome};

/// Calls that agents and other entries make on entries.
#[rpc(server, client, namespace = "entry")]
pub trait EntryRpc {
    /// Announces the sender and learns who else is there.
    #[method(name = "hello")]
    async fn hello(&self, hello: Hello) -> RpcResult<Welcome>;

    /// Gives a sign of life.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatAck>;

    /// Reports the end of a run.
    #[method(name = "report")]
    async fn report(&self, report: RunReport) -> RpcResult<ReportAck>;
}
