//! RPC interface of an agent.

use jsonrpsee::core::RpcResult;
use jsonrpsee::proc_macros::rpc;

use crate::message::{
    ConfigState, KeyStatusReply, KeyStatusRequest, RunActionReply, RunActionRequest, ServeReply,
    ServeRequest, StartReply, StartRun,
};

/// Methods that entries call on agents.
#[rpc(server, client, namespace = "agent")]
pub trait AgentRpc {
    /// Serves one urgent request.
    #[method(name = "serve")]
    async fn serve(&self, request: ServeRequest) -> RpcResult<ServeReply>;

    /// Returns the status of an idempotency key.
    #[method(name = "fate")]
    async fn key_status(&self, request: KeyStatusRequest) -> RpcResult<KeyStatusReply>;

    /// Starts a run.
    #[method(name = "start")]
    async fn start(&self, request: StartRun) -> RpcResult<StartReply>;

    /// Applies an action to a run.
    #[method(name = "stop")]
    async fn stop(&self, request: RunActionRequest) -> RpcResult<RunActionReply>;

    /// Offers a configuration and returns the version that the agent holds afterwards.
    #[method(name = "configure")]
    async fn configure(&self, config: ConfigState) -> RpcResult<agate_core::Version>;
}
