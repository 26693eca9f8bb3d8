//! What an agent offers to entries.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::message::{
    ConfigState, KeyStatusReply, KeyStatusRequest, RunActionReply, RunActionRequest, ServeReply,
    ServeRequest, StartReply, StartRun,
};

/// Calls that entries make on agents.
#[rpc(server, client, namespace = "agent")]
pub trait AgentRpc {
    /// Serves one urgent request.
    #[method(name = "serve")]
    async fn serve(&self, request: ServeRequest) -> RpcResult<ServeReply>;

    /// Tells what became of an idempotency key.
    #[method(name = "fate")]
    async fn key_status(&self, request: KeyStatusRequest) -> RpcResult<KeyStatusReply>;

    /// Starts a run.
    #[method(name = "start")]
    async fn start(&self, request: StartRun) -> RpcResult<StartReply>;

    /// Acts on a run.
    #[method(name = "stop")]
    async fn stop(&self, request: RunActionRequest) -> RpcResult<RunActionReply>;

    /// Offers a configuration; answers the version that the agent holds afterwards.
    #[method(name = "configure")]
    async fn configure(&self, config: ConfigState) -> RpcResult<agate_core::Version>;
}
