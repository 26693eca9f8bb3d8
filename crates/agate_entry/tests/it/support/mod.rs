//! Fakes of an entry's external interfaces.

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

pub fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

/// Starts an entry with the log at `log` and the given limits.
pub async fn start_entry_with(log: SocketAddr, seeds: Vec<SocketAddr>, limits: Limits) -> Running {
    let config = EntryConfig::builder()
        .caller_listen(any_port())
        .operator_listen(any_port())
        .rpc_listen(any_port())
        .seeds(seeds)
        .site(site())
        .log(log)
        .token(Secret::new(TOKEN))
        .limits(limits)
        .build();
    start(config).await.unwrap()
}

/// Starts a separate log.
pub async fn start_log() -> standin_log::Handle {
    let limits = standin_log::Limits {
        retention: Duration::from_hours(1),
        appends_per_second: 500,
    };
    let config = standin_log::Config::builder()
        .listen(any_port())
        .limits(limits)
        .build();
    standin_log::serve(config).await.unwrap()
}

/// Makes the log unavailable.
pub fn take_log_down(log: &standin_log::Handle) {
    log.set_faults(standin_log::Faults {
        outage: true,
        ..standin_log::Faults::default()
    });
}

/// Starts an entry that follows `log` and knows the entries in `seeds`.
pub async fn start_entry_on(log: &standin_log::Handle, seeds: Vec<SocketAddr>) -> Running {
    let entry = start_entry_with(log.address(), seeds, short_limits()).await;
    let operator = operator_client(&entry);
    eventually("the entry reads the log", async || {
        let probe = operator
            .post("/v1/presets/switch", r#"{"name":"none","expected":"0+0"}"#)
            .await;
        probe.status() != http::StatusCode::SERVICE_UNAVAILABLE
    })
    .await;
    entry
}

/// Starts an entry without a reachable log.
pub async fn start_entry() -> Running {
    let nowhere = "127.0.0.1:1".parse().unwrap();
    start_entry_with(nowhere, Vec::new(), short_limits()).await
}

/// Returns limits that keep shutdowns short.
pub fn short_limits() -> Limits {
    Limits::builder()
        .leave_delay(Duration::from_millis(100))
        .drain_timeout(Duration::from_secs(5))
        .build()
}

pub fn caller_client(entry: &Running) -> Http {
    Http::new(entry.caller_address())
}

pub fn operator_client(entry: &Running) -> Http {
    Http::new(entry.operator_address()).with("authorization", format!("Bearer {TOKEN}"))
}

/// Starts a fake backend server's agent and announces it to `entry`.
pub async fn start_backend(
    entry: &Running,
    incarnation: u64,
    behaviour: Behaviour,
) -> (FakeAgent, Heartbeats) {
    let agent = FakeAgent::start(incarnation, behaviour).await;
    let heartbeats = agent
        .join(entry.rpc_address(), Host::Backend, agent.address)
        .await;
    (agent, heartbeats)
}

/// Starts a fake worker's agent and announces it to `entry`.
pub async fn start_worker(entry: &Running, incarnation: u64) -> (FakeAgent, Heartbeats) {
    let agent = FakeAgent::start(incarnation, Behaviour::Answer).await;
    let heartbeats = agent
        .join(entry.rpc_address(), Host::Worker, agent.address)
        .await;
    (agent, heartbeats)
}

/// Waits up to ten seconds until `check` returns true.
pub async fn eventually(what: &str, mut check: impl AsyncFnMut() -> bool) {
    for _ in 0..500 {
        if check().await {
            return;
        }
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    panic!("timed out waiting until {what}");
}
