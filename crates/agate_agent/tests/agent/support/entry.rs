//! An entry that the tests play.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::Incarnation;
use agate_wire::message::{
    ConfigState, EntryInfo, Heartbeat, HeartbeatAck, Hello, ReportAck, RunReport, Verdict, Welcome,
};
use agate_wire::rpc::EntryRpcServer;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerHandle};

/// What the entry has seen, and how it answers.
#[derive(Debug)]
pub struct EntryState {
    pub hellos: Vec<Hello>,
    pub heartbeats: Vec<Heartbeat>,
    pub reports: Vec<RunReport>,
    pub verdict: Verdict,
    /// The incarnation that `verdict` is about; others are known once they have said hello.
    pub judged: Option<Incarnation>,
    pub lease: Duration,
    pub report_ack: ReportAck,
    pub config: Option<ConfigState>,
    /// Other entries that the agent is told of.
    pub peers: Vec<EntryInfo>,
}

/// An entry that the tests play.
#[derive(Debug)]
pub struct FakeEntry {
    pub info: EntryInfo,
    state: Arc<Mutex<EntryState>>,
    server: ServerHandle,
}

#[derive(Debug)]
struct Handlers {
    info: EntryInfo,
    state: Arc<Mutex<EntryState>>,
}

fn lock(state: &Mutex<EntryState>) -> MutexGuard<'_, EntryState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

#[async_trait]
impl EntryRpcServer for Handlers {
    async fn hello(&self, hello: Hello) -> RpcResult<Welcome> {
        let mut state = lock(&self.state);
        state.hellos.push(hello);
        Ok(Welcome {
            entry: self.info.clone(),
            peers: state.peers.clone(),
            config: state.config.clone(),
        })
    }

    async fn heartbeat(&self, heartbeat: Heartbeat) -> RpcResult<HeartbeatAck> {
        let mut state = lock(&self.state);
        let judged = state.judged.is_none_or(|one| one == heartbeat.incarnation);
        let verdict = if judged {
            state.verdict
        } else {
            Verdict::Known
        };
        let lease = match verdict {
            Verdict::Known => state.lease,
            Verdict::Unknown | Verdict::Lost => Duration::ZERO,
        };
        state.heartbeats.push(heartbeat);
        let mut entries = state.peers.clone();
        entries.push(self.info.clone());
        Ok(HeartbeatAck {
            verdict,
            lease_ms: u64::try_from(lease.as_millis()).unwrap_or(u64::MAX),
            config: state.config.clone(),
            entries,
        })
    }

    async fn report(&self, report: RunReport) -> RpcResult<ReportAck> {
        let mut state = lock(&self.state);
        state.reports.push(report);
        Ok(state.report_ack)
    }
}

impl FakeEntry {
    pub async fn start() -> Self {
        let server = Server::builder()
            .build("127.0.0.1:0")
            .await
            .expect("loopback has free ports");
        let address = server.local_addr().expect("a bound server has an address");
        let state = Arc::new(Mutex::new(EntryState {
            hellos: Vec::new(),
            heartbeats: Vec::new(),
            reports: Vec::new(),
            verdict: Verdict::Known,
            judged: None,
            lease: Duration::from_mins(1),
            report_ack: ReportAck::Recorded,
            config: None,
            peers: Vec::new(),
        }));
        let info = EntryInfo {
            incarnation: Incarnation::random(&mut rand::rng()),
            address,
            site: super::site(),
        };
        let handlers = Handlers {
            info: info.clone(),
            state: Arc::clone(&state),
        };
        let server = server.start(handlers.into_rpc());
        Self {
            info,
            state,
            server,
        }
    }

    pub fn state(&self) -> MutexGuard<'_, EntryState> {
        lock(&self.state)
    }

    /// Answers heartbeats of `incarnation` with `verdict` from now on.
    pub fn judge(&self, incarnation: Incarnation, verdict: Verdict) {
        let mut state = self.state();
        state.judged = Some(incarnation);
        state.verdict = verdict;
    }

    /// Waits until `condition` holds of what the entry has seen.
    pub async fn until(&self, what: &str, condition: impl Fn(&EntryState) -> bool) {
        super::until(what, || condition(&self.state())).await;
    }

    pub fn stop(&self) {
        self.server.stop().expect("the entry was running");
    }
}
