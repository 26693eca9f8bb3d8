//! Fakes at the interfaces of an entry.

mod agent;
mod agent_rpc;
mod client;
mod proxy;

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Host, RegionName, Site, ZoneName};
use agate_entry::{EntryConfig, Limits, Running, start};
use agate_settings::Secret;

pub use agent::{Behaviour, FakeAgent, Heartbeats};
pub use client::{Answer, Http, header, text, value};
pub use proxy::SilentProxy;

pub const TOKEN: &str = "0123456789abcdef";

pub fn site() -> Site {
    Site {
        region: RegionName::new("khomas").unwrap(),
        zone: ZoneName::new("khomas-1").unwrap(),
    }
}

pub fn any() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Starts an entry whose log is at `log` with the given limits.
pub async fn entry_with(log: SocketAddr, seeds: Vec<SocketAddr>, limits: Limits) -> Running {
    let config = EntryConfig::builder()
        .caller_listen(any())
        .operator_listen(any())
        .rpc_listen(any())
        .seeds(seeds)
        .site(site())
        .log(log)
        .token(Secret::new(TOKEN))
        .limits(limits)
        .build();
    start(config).await.unwrap()
}

/// Starts a log of its own.
pub async fn log() -> standin_log::Handle {
    let limits = standin_log::Limits {
        retention: Duration::from_hours(1),
        appends_per_second: 500,
    };
    let config = standin_log::Config::builder()
        .listen(any())
        .limits(limits)
        .build();
    standin_log::serve(config).await.unwrap()
}

/// Takes the log down.
pub fn outage(log: &standin_log::Handle) {
    log.set_faults(standin_log::Faults {
        outage: true,
        ..standin_log::Faults::default()
    });
}

/// Starts an entry that follows `log` and knows the entries in `seeds`.
pub async fn entry_on(log: &standin_log::Handle, seeds: Vec<SocketAddr>) -> Running {
    let entry = entry_with(log.address(), seeds, quick()).await;
    let operator = operators(&entry);
    eventually("the entry reads the log", async || {
        let probe = operator
            .post("/v1/presets/switch", r#"{"name":"none","expected":"0+0"}"#)
            .await;
        probe.status() != http::StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    entry
}

/// Starts an entry without a log.
pub async fn entry() -> Running {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    entry_with(nowhere, Vec::new(), quick()).await
}

/// Limits under which a shutdown takes no longer than a test wants to wait.
pub fn quick() -> Limits {
    Limits::builder()
        .leave_delay(Duration::from_millis(100))
        .drain_timeout(Duration::from_secs(5))
        .build()
}

pub fn callers(entry: &Running) -> Http {
    Http::new(entry.caller_address())
}

pub fn operators(entry: &Running) -> Http {
    Http::new(entry.operator_address()).with("authorization", format!("Bearer {TOKEN}"))
}

/// Starts a fake backend server's agent and announces it to `entry`.
pub async fn backend(
    entry: &Running,
    incarnation: u64,
    behaviour: Behaviour,
) -> (FakeAgent, Heartbeats) {
    let agent = FakeAgent::start(incarnation, behaviour).await;
    let beats = agent
        .join(entry.rpc_address(), Host::Backend, agent.address)
        .await;
    (agent, beats)
}

/// Starts a fake worker's agent and announces it to `entry`.
pub async fn worker(entry: &Running, incarnation: u64) -> (FakeAgent, Heartbeats) {
    let agent = FakeAgent::start(incarnation, Behaviour::Answer).await;
    let beats = agent
        .join(entry.rpc_address(), Host::Worker, agent.address)
        .await;
    (agent, beats)
}

/// Waits until `check` holds, for at most ten seconds.
pub async fn eventually(what: &str, mut check: impl AsyncFnMut() -> bool) {
    for _ in 0..500 {
        if check().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("{what} did not come about");
}
