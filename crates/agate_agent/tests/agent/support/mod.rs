//! Fake processes, agents and messages for the tests.

mod calls;
mod entry;
mod worker;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use agate_agent::{Agent, AgentConfig, Clock, MachineClock};
use agate_core::clock::{boot_time, wall_millis};
use agate_core::ids::Offset;
use agate_core::{Host, Position, Resources, Site, Version};
use agate_preset::Preset;
use agate_wire::message::{Capacity, ConfigState, PresetInForce};
use standin_backend::{Config, Handle, ServiceTime, serve};

pub use calls::{
    answer_body, connect_agent, key_query, new_key, refusal, request, request_to, start_request_to,
    with_key,
};
pub use entry::{EntryState, FakeEntry};
pub use worker::{LONG_TASK, SHORT_TASK, WorkerFixture, is_refused};

/// Timeout for events that take milliseconds on an idle machine.
pub const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Waits until `condition` holds.
pub async fn wait_until(what: &str, condition: impl Fn() -> bool) {
    let holds = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    let waited = tokio::time::timeout(TEST_TIMEOUT, holds).await;
    assert!(waited.is_ok(), "not seen in time: {what}");
}

pub fn site() -> Site {
    Site {
        region: "khomas".parse().expect("a valid name"),
        zone: "windhoek-1".parse().expect("a valid name"),
    }
}

/// Options of an agent under test.
#[derive(Debug, Clone)]
pub struct AgentOptions {
    pub seeds: Vec<SocketAddr>,
    pub host: Host,
    pub local: SocketAddr,
    pub slots: u32,
    pub connections: u32,
    pub drain: Duration,
}

impl AgentOptions {
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
            .drain_timeout(self.drain)
            .build()
    }

    pub fn start(&self) -> Agent {
        self.start_with(Arc::new(MachineClock))
    }

    pub fn start_with(&self, clock: Arc<dyn Clock>) -> Agent {
        Agent::start(self.config(), clock).expect("loopback has free ports")
    }
}

/// A clock whose boot time can jump forward, as after a suspension of the machine.
#[derive(Debug, Default)]
pub struct SuspendableClock(Mutex<Duration>);

impl SuspendableClock {
    pub fn suspend(&self, time: Duration) {
        *self.0.lock().expect("no test panics here") += time;
    }
}

impl Clock for SuspendableClock {
    fn since_boot(&self) -> Duration {
        boot_time() + *self.0.lock().expect("no test panics here")
    }

    fn wall_millis(&self) -> u64 {
        wall_millis()
    }
}

/// Returns a configuration with short heartbeat and suspicion intervals.
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

/// Starts a backend server with a fixed service time.
pub async fn backend(slots: u32, service: Duration) -> Handle {
    let config = Config::builder()
        .slots(slots)
        .service(ServiceTime::Fixed(service))
        .build();
    serve(config).await.expect("loopback has free ports")
}
