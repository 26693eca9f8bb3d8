//! RPC interface of an entry.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::message::{Heartbeat, HeartbeatAck, Hello, ReportAck, RunReport, Welcome};

/// Methods that agents and other entries call on entries.
#[rpc(server, client, namespace = "entry")]
pub trait EntryRpc {
    /// Announces the sender and returns the known entries and the newest configuration.
    #[method(name = "hello")]
    async fn hello(&self, hello: Hello) -> RpcResult<Welcome>;

    /// Renews the sender's membership and lease.
    #[method(name = "heartbeat")]
    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatAck>;

    /// Reports the end of a run.
    #[method(name = "report")]
    async fn report(&self, report: RunReport) -> RpcResult<ReportAck>;
}
