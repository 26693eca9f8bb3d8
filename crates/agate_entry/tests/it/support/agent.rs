//! A fake agent behind the real RPC interface.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use agate_core::{Host, Incarnation, Key, Resources, RunId, Site};
use agate_wire::message::{
    BackendResponse, Capacity, ConfigState, Heartbeat, HeartbeatAck, Hello, Load, MemberInfo,
    Refusal, ReportAck, RunActionRequest, RunReport, RunResult, RunStatus, StartReply, StartRun,
};
use agate_wire::rpc::{AgentRpcServer, EntryRpcClient, MAX_MESSAGE_BYTES};
use jsonrpsee::server::{Server, ServerConfig, ServerHandle};
use jsonrpsee::ws_client::WsClientBuilder;
use tokio::task::JoinHandle;

use super::agent_rpc::Methods;
use super::{eventually, site};

/// How the agent handles requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Behaviour {
    /// Answers immediately.
    Answer,
    /// Runs the request and replies with another request's id.
    WrongId,
    /// Runs the request and replies with a truncated body.
    Truncated,
    /// Refuses the request.
    Refuse(Refusal),
    /// Runs the request and answers after a delay.
    Slow(Duration),
    /// Reports that the backend server gave no answer.
    Fail,
}

#[derive(Debug)]
pub struct State {
    pub behaviour: Behaviour,
    /// Number of attempts received.
    pub attempts: usize,
    /// Keys of the requests that ran; `None` for requests without a key.
    pub ran: Vec<Option<Key>>,
    pub answers: HashMap<Key, BackendResponse>,
    pub tombstones: Vec<Key>,
    /// Time budget of each attempt in milliseconds.
    pub budgets: Vec<u64>,
    pub status_queries: usize,
    pub config: Option<ConfigState>,
    pub starts: Vec<StartRun>,
    pub stops: Vec<RunActionRequest>,
    pub start_reply: StartReply,
    /// Runs listed in heartbeats.
    pub held: Vec<RunStatus>,
    /// Whether heartbeats report that the agent is leaving.
    pub leaving: bool,
    /// The incarnation that has taken over the address and answers there.
    pub successor: Option<Incarnation>,
    /// The latest heartbeat acknowledgement.
    pub ack: Option<HeartbeatAck>,
}

#[derive(Debug, Clone)]
pub struct FakeAgent {
    pub incarnation: Incarnation,
    pub address: SocketAddr,
    pub state: Arc<Mutex<State>>,
    server: ServerHandle,
}

impl FakeAgent {
    pub async fn start(incarnation: u64, behaviour: Behaviour) -> Self {
        let state = State {
            behaviour,
            attempts: 0,
            ran: Vec::new(),
            answers: HashMap::new(),
            tombstones: Vec::new(),
            budgets: Vec::new(),
            status_queries: 0,
            config: None,
            starts: Vec::new(),
            stops: Vec::new(),
            start_reply: StartReply::Started,
            held: Vec::new(),
            leaving: false,
            successor: None,
            ack: None,
        };
        let state = Arc::new(Mutex::new(state));
        let incarnation = Incarnation::new(incarnation);
        let config = ServerConfig::builder()
            .max_request_body_size(MAX_MESSAGE_BYTES)
            .max_response_body_size(MAX_MESSAGE_BYTES)
            .build();
        let server = Server::builder()
            .set_config(config)
            .build("127.0.0.1:0")
            .await
            .unwrap();
        let address = server.local_addr().unwrap();
        let methods = Methods {
            incarnation,
            state: Arc::clone(&state),
        };
        let server = server.start(methods.into_rpc());
        Self {
            incarnation,
            address,
            state,
            server,
        }
    }

    pub fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Announces to the entry of `heartbeats` that the agent leaves, and exits once that is acknowledged.
    pub async fn leave(&self, heartbeats: Heartbeats) {
        self.lock().leaving = true;
        // The second acknowledgement from now on belongs to a heartbeat sent after the change.
        for _ in 0..2 {
            self.lock().ack = None;
            eventually("a heartbeat is answered", async || {
                self.lock().ack.is_some()
            })
            .await;
        }
        drop(heartbeats);
        self.server.stop().expect("the server runs");
    }

    /// Reports the end of a run and returns the acknowledgement.
    pub async fn report(&self, entry: SocketAddr, run: RunId, result: RunResult) -> ReportAck {
        let client = WsClientBuilder::new()
            .build(format!("ws://{entry}"))
            .await
            .unwrap();
        let report = RunReport {
            run,
            incarnation: self.incarnation,
            result,
            peak: Resources::ZERO,
            ran_ms: 1,
        };
        let ack = client.report(report).await.unwrap();
        if ack == ReportAck::Recorded {
            self.lock().held.retain(|status| status.run != run);
        }
        ack
    }

    /// Announces the agent to an entry under `address` and keeps sending heartbeats.
    pub async fn join(&self, entry: SocketAddr, host: Host, address: SocketAddr) -> Heartbeats {
        self.join_from(site(), entry, host, address).await
    }

    /// Like [`Self::join`], from another site.
    pub async fn join_from(
        &self,
        site: Site,
        entry: SocketAddr,
        host: Host,
        address: SocketAddr,
    ) -> Heartbeats {
        let client = WsClientBuilder::new()
            .build(format!("ws://{entry}"))
            .await
            .unwrap();
        let member = MemberInfo {
            incarnation: self.incarnation,
            host,
            address,
            site,
            capacity: Capacity {
                slots: 8,
                connections: 64,
                resources: Resources::new(16_000, 60_000, 0),
            },
            classes: Vec::new(),
        };
        let hello = Hello {
            member: Some(member),
            entry: None,
            leaving: false,
        };
        client.hello(hello).await.unwrap();
        let (incarnation, state) = (self.incarnation, Arc::clone(&self.state));
        Heartbeats(tokio::spawn(async move {
            for sequence in 1.. {
                let (version, runs, leaving) = {
                    let state = state.lock().unwrap();
                    let version = state.config.as_ref().map(|c| c.version);
                    (version, state.held.clone(), state.leaving)
                };
                let heartbeat = Heartbeat {
                    incarnation,
                    sequence,
                    leaving,
                    load: Load::default(),
                    config: version.unwrap_or_default(),
                    runs,
                    usage: Vec::new(),
                    urgent: Vec::new(),
                    entries: Vec::new(),
                };
                let Ok(ack) = client.heartbeat(heartbeat).await else {
                    return;
                };
                state.lock().unwrap().ack = Some(ack);
                tokio::time::sleep(Duration::from_millis(200)).await;
            }
        }))
    }
}

/// Sends an agent's heartbeats to one entry until dropped.
#[derive(Debug)]
pub struct Heartbeats(JoinHandle<()>);

impl Drop for Heartbeats {
    fn drop(&mut self) {
        self.0.abort();
    }
}
