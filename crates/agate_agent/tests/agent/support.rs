//! An entry for tests, and the building of agents and messages.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_agent::{Agent, AgentConfig, Clock, MachineClock};
use agate_core::clock::{boot_time, wall_millis};
use agate_core::ids::Offset;
use agate_core::{
    Host, Incarnation, JobId, Key, Position, Resources, RunId, Site, TaskId, TraceContext, Version,
};
use agate_preset::Preset;
use agate_wire::Blob;
use agate_wire::message::{
    Capacity, ConfigState, EntryInfo, Heartbeat, HeartbeatAck, Hello, PresetInForce, ReportAck,
    RunReport, ServeRequest, StartRun, StopKind, StopReply, StopRun, Verdict, Welcome,
};
use agate_wire::rpc::{AgentRpcClient, EntryRpcServer};
use jsonrpsee::core::{RpcResult, async_trait};
use jsonrpsee::server::{Server, ServerHandle};
use jsonrpsee::ws_client::{WsClient, WsClientBuilder};
use rand::Rng;
use standin_worker::RanTask;

/// Longest wait for something that takes milliseconds on an idle machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

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
            site: site(),
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
        until(what, || condition(&self.state())).await;
    }

    pub fn stop(&self) {
        self.server.stop().expect("the entry was running");
    }
}

/// Waits until `condition` holds.
pub async fn until(what: &str, condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(PATIENCE, holds).await;
    assert!(waited.is_ok(), "not seen in time: {what}");
}

pub fn site() -> Site {
    Site {
        region: "khomas".parse().expect("a valid name"),
        zone: "windhoek-1".parse().expect("a valid name"),
    }
}

/// What a test may choose about its agent.
#[derive(Debug, Clone)]
pub struct Choice {
    pub seeds: Vec<SocketAddr>,
    pub host: Host,
    pub local: SocketAddr,
    pub slots: u32,
    pub connections: u32,
    pub drain: Duration,
}

impl Choice {
    pub fn backend(local: SocketAddr) -> Self {
        Self {
            seeds: Vec::new(),
            host: Host::Backend,
            local,
            slots: 8,
            connections: 64,
            drain: Duration::from_secs(20),
        }
    }

    pub fn config(&self) -> AgentConfig {
        AgentConfig::builder()
            .seeds(self.seeds.clone())
            .site(site())
            .host(self.host)
            .local(self.local)
            .capacity(Capacity {
                slots: self.slots,
                connections: self.connections,
                resources: Resources::new(4_000, 4_096, 0),
            })
            .drain(self.drain)
            .build()
    }

    pub fn start(&self) -> Agent {
        self.start_with(Arc::new(MachineClock))
    }

    pub fn start_with(&self, clock: Arc<dyn Clock>) -> Agent {
        Agent::start(self.config(), clock).expect("loopback has free ports")
    }
}

/// A clock whose boot time can be moved on, as if the machine had been suspended.
#[derive(Debug, Default)]
pub struct SuspendableClock(Mutex<Duration>);

impl SuspendableClock {
    pub fn suspend(&self, time: Duration) {
        *self.0.lock().expect("no test panics here") += time;
    }
}

impl Clock for SuspendableClock {
    fn boot(&self) -> Duration {
        boot_time() + *self.0.lock().expect("no test panics here")
    }

    fn wall_millis(&self) -> u64 {
        wall_millis()
    }
}

/// Connects to an agent as an entry does.
pub async fn dial(address: SocketAddr) -> WsClient {
    WsClientBuilder::default()
        .request_timeout(PATIENCE)
        .build(format!("ws://{address}"))
        .await
        .expect("the agent listens")
}

pub fn key() -> Key {
    Key::from_parts(wall_millis(), rand::rng().random())
}

/// A request to `agent` of class `seat-check` without a key, with a body of its own.
pub fn request(agent: &Agent, id: u64) -> ServeRequest {
    request_to(agent.incarnation(), id)
}

/// As [`request`], to an incarnation in another process.
pub fn request_to(incarnation: Incarnation, id: u64) -> ServeRequest {
    ServeRequest {
        request: id,
        incarnation,
        key: None,
        caller: "family-1".parse().expect("a valid name"),
        class: "seat-check".parse().expect("a valid name"),
        budget_ms: 10_000,
        trace: TraceContext::root(&mut rand::rng(), true),
        media: "text/plain".to_owned(),
        body: Blob::new(format!("body of {id}").as_bytes()),
    }
}

/// A request to start the first run of task `index`, bound in the order of the tasks, with half of
/// the worker's memory and the given payload.
pub fn run_to(incarnation: Incarnation, index: u32, payload: &str) -> StartRun {
    let task = TaskId {
        job: JobId(1),
        index,
    };
    StartRun {
        run: RunId { task, epoch: 1 },
        incarnation,
        bound: Position::new(Offset(100 + u64::from(index * 10)), 0),
        class: "rebalance".parse().expect("a valid name"),
        tags: vec!["season:2026".parse().expect("a valid name")],
        team: "holiday".parse().expect("a valid name"),
        demand: Resources::new(1_000, 2_048, 0),
        declared: Resources::new(1_000, 2_048, 0),
        checkpoint: None,
        payload: payload.to_owned(),
        trace: TraceContext::root(&mut rand::rng(), true),
    }
}

/// A configuration whose heartbeats and time limits are short.
pub fn quick_config(offset: u64) -> ConfigState {
    let preset = Preset::parse(
        r#"{"kind": "ordinary", "membership": {"heartbeat_ms": 50, "suspect_ms": 100}}"#,
    );
    let version = Version(Position::new(Offset(offset), 0));
    ConfigState {
        version,
        preset: Some(PresetInForce {
            name: "quick".to_owned(),
            version,
            preset: preset.expect("a valid preset"),
        }),
        withdrawals: Vec::new(),
    }
}

/// An agent beside a worker, known to one entry and under a lease.
pub struct OnWorker {
    pub entry: FakeEntry,
    pub worker: standin_worker::Handle,
    pub agent: Agent,
    pub client: WsClient,
}

impl OnWorker {
    pub async fn start() -> Self {
        Self::start_with(|_| {}).await
    }

    /// Starts with an entry that `prepare` has changed first.
    pub async fn start_with(prepare: fn(&mut EntryState)) -> Self {
        let lag = Duration::from_millis(50);
        let config = standin_worker::Config::builder().lag(lag).build();
        let worker = standin_worker::serve(&config).expect("loopback has free ports");
        let entry = FakeEntry::start().await;
        entry.state().config = Some(quick_config(1));
        prepare(&mut entry.state());
        let mut choice = Choice::backend(worker.address());
        choice.host = Host::Worker;
        choice.seeds = vec![entry.info.address];
        let agent = choice.start();
        entry
            .until("two heartbeats", |state| state.heartbeats.len() >= 2)
            .await;
        let client = dial(agent.address()).await;
        Self {
            entry,
            worker,
            agent,
            client,
        }
    }

    /// A request to start run `epoch` of task `index`; see [`run_to`].
    pub fn run(&self, index: u32, epoch: u32, payload: &str) -> StartRun {
        let mut run = run_to(self.agent.incarnation(), index, payload);
        run.run.epoch = epoch;
        run.bound.index = epoch;
        run
    }

    pub async fn take_step(&self, run: RunId, kind: StopKind) -> StopReply {
        let request = StopRun {
            run,
            incarnation: self.agent.incarnation(),
            kind,
        };
        self.client.stop(request).await.expect("a reply")
    }

    /// Waits for a report of `run`.
    pub async fn report(&self, run: RunId) -> RunReport {
        let of_run = |state: &EntryState| state.reports.iter().any(|report| report.run == run);
        self.entry.until("a report", of_run).await;
        let state = self.entry.state();
        let mut reports = state.reports.iter();
        reports
            .find(|report| report.run == run)
            .cloned()
            .expect("a report was seen")
    }

    /// The worker's record of `run`, if it was started there.
    pub fn task(&self, run: RunId) -> Option<RanTask> {
        let ran = self.worker.ran();
        ran.tasks
            .into_iter()
            .find(|task| task.run == run.to_string())
    }
}
