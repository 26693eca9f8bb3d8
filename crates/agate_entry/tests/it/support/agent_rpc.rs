//! RPC methods of the fake agent.

use std::sync::{Arc, Mutex};

use agate_core::{Incarnation, Version};
use agate_wire::Blob;
use agate_wire::message::{
    BackendResponse, ConfigState, KeyStatus, KeyStatusReply, KeyStatusRequest, Load, Refusal,
    RunActionReply, RunActionRequest, RunStatus, ServeReply, ServeRequest, ServeResult, StartReply,
    StartRun,
};
use agate_wire::rpc::AgentRpcServer;
use jsonrpsee::core::{RpcResult, async_trait};

use super::agent::{Behaviour, State};

pub struct Methods {
    pub incarnation: Incarnation,
    pub state: Arc<Mutex<State>>,
}

fn answer(request: &ServeRequest) -> BackendResponse {
    let body = request.body.decode().unwrap();
    BackendResponse {
        status: 200,
        media: "text/plain".to_owned(),
        body: Blob::new(&[b"echo:", body.as_slice()].concat()),
    }
}

fn truncate(blob: &Blob) -> Blob {
    let mut value = serde_json::to_value(blob).unwrap();
    value["data"] = serde_json::Value::String("ZWNobw==".to_owned());
    serde_json::from_value(value).unwrap()
}

impl Methods {
    /// Runs a request unless its key has run or is tombstoned.
    fn run(&self, request: &ServeRequest) -> Option<BackendResponse> {
        let mut state = self.state.lock().unwrap();
        let Some(key) = request.key else {
            state.ran.push(None);
            return Some(answer(request));
        };
        if state.tombstones.contains(&key) {
            return None;
        }
        if let Some(answer) = state.answers.get(&key) {
            return Some(answer.clone());
        }
        let answer = answer(request);
        state.ran.push(Some(key));
        state.answers.insert(key, answer.clone());
        Some(answer)
    }

    async fn result(&self, request: &ServeRequest, behaviour: Behaviour) -> ServeResult {
        let refused = |reason| ServeResult::Refused {
            reason,
            retry_ms: 700,
        };
        match behaviour {
            Behaviour::Refuse(reason) => {
                self.state.lock().unwrap().tombstones.extend(request.key);
                return refused(reason);
            }
            Behaviour::Fail => {
                return ServeResult::Failed {
                    reason: "connection reset".to_owned(),
                };
            }
            Behaviour::Answer | Behaviour::WrongId | Behaviour::Truncated | Behaviour::Slow(_) => {}
        }
        let Some(mut answer) = self.run(request) else {
            return refused(Refusal::Tombstoned);
        };
        if let Behaviour::Slow(time) = behaviour {
            tokio::time::sleep(time).await;
        }
        if behaviour == Behaviour::Truncated {
            answer.body = truncate(&answer.body);
        }
        ServeResult::Done(answer)
    }
}

#[async_trait]
impl AgentRpcServer for Methods {
    async fn serve(&self, request: ServeRequest) -> RpcResult<ServeReply> {
        let behaviour = {
            let mut state = self.state.lock().unwrap();
            state.attempts += 1;
            state.budgets.push(request.budget_ms);
            state.behaviour
        };
        let result = if request.incarnation == self.incarnation {
            self.result(&request, behaviour).await
        } else {
            ServeResult::Refused {
                reason: Refusal::Gone,
                retry_ms: 0,
            }
        };
        let id_offset = u64::from(behaviour == Behaviour::WrongId);
        Ok(ServeReply {
            request: request.request + id_offset,
            result,
            load: Load::default(),
        })
    }

    async fn key_status(&self, request: KeyStatusRequest) -> RpcResult<KeyStatusReply> {
        let mut state = self.state.lock().unwrap();
        state.status_queries += 1;
        let current = state.successor.unwrap_or(self.incarnation);
        let key_status = if request.incarnation != current {
            KeyStatus::Gone
        } else if let Some(answer) = state.answers.get(&request.key) {
            KeyStatus::Done(answer.clone())
        } else if state.tombstones.contains(&request.key) {
            KeyStatus::NotRun
        } else if request.tombstone {
            state.tombstones.push(request.key);
            KeyStatus::NotRun
        } else {
            KeyStatus::Pending
        };
        Ok(KeyStatusReply {
            key: request.key,
            status: key_status,
            load: Load::default(),
        })
    }

    async fn start(&self, request: StartRun) -> RpcResult<StartReply> {
        let mut state = self.state.lock().unwrap();
        let reply = state.start_reply.clone();
        let status = RunStatus {
            run: request.run,
            step: None,
        };
        if reply == StartReply::Started && !state.held.contains(&status) {
            state.held.push(status);
            state.starts.push(request);
        }
        Ok(reply)
    }

    async fn stop(&self, request: RunActionRequest) -> RpcResult<RunActionReply> {
        self.state.lock().unwrap().stops.push(request);
        Ok(RunActionReply::Accepted)
    }

    async fn configure(&self, config: ConfigState) -> RpcResult<Version> {
        let version = config.version;
        self.state.lock().unwrap().config = Some(config);
        Ok(version)
    }
}
