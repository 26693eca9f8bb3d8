//! A fake entry for the tests.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{Incarnation, Version};
use agate_wire::message::{
    ConfigState, EntryInfo, Heartbeat, HeartbeatAck, Hello, ReportAck, RunReport, Verdict, Welcome,
};
use agate_wire::rpc::EntryRpcServer;
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerHandle};

/// The calls that the entry has received, and the answers it gives.
#[derive(Debug)]
pub struct EntryState {
    pub hellos: Vec<Hello>,
    pub heartbeats: Vec<Heartbeat>,
    pub reports: Vec<RunReport>,
    pub verdict: Verdict,
    /// The incarnation that `verdict` applies to, or all if `None`. Others get [`Verdict::Known`].
    pub verdict_for: Option<Incarnation>,
    pub lease: Duration,
    pub report_ack: ReportAck,
    pub config: Option<ConfigState>,
    /// The configuration version that the log doesn't hold.
    pub refuted: Option<Version>,
    /// Other entries that are announced to the agent.
    pub peers: Vec<EntryInfo>,
}

/// A fake entry that records calls and gives configured answers.
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
        let applies = state
            .verdict_for
            .is_none_or(|one| one == heartbeat.incarnation);
        let verdict = if applies {
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
            refuted: state.refuted,
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
            verdict_for: None,
            lease: Duration::from_mins(1),
            report_ack: ReportAck::Recorded,
            config: None,
            refuted: None,
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
    pub fn set_verdict(&self, incarnation: Incarnation, verdict: Verdict) {
        let mut state = self.state();
        state.verdict_for = Some(incarnation);
        state.verdict = verdict;
    }

    /// Waits until `condition` holds for the entry's state.
    pub async fn wait_until(&self, what: &str, condition: impl Fn(&EntryState) -> bool) {
        super::wait_until(what, || condition(&self.state())).await;
    }

    pub fn stop(&self) {
        self.server.stop().expect("the entry was running");
    }
}
