//! Stand-ins, agents and messages for the tests.

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

pub use calls::{ask, dial, done_body, key, keyed, refusal, request, request_to, run_to};
pub use entry::{EntryState, FakeEntry};
pub use worker::{LONG, OnWorker, SHORT, is_refused};

/// Longest wait for something that takes milliseconds on an idle machine.
pub const PATIENCE: Duration = Duration::from_secs(20);

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

/// A clock whose boot time can be moved on, as if the machine had been suspended.
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

/// A backend server whose requests all take the same time.
pub async fn backend(slots: u32, service: Duration) -> Handle {
    let config = Config::builder()
        .slots(slots)
        .service(ServiceTime::Fixed(service))
        .build();
    serve(config).await.expect("loopback has free ports")
}
