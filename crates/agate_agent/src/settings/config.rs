//! The agent's validated configuration.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{ClassName, Findings, Host, Resources, Site};
use agate_settings::Values;
use agate_wire::message::Capacity;
use bon::Builder;

use super::AgentSetting;

/// The configuration of one agent.
#[derive(Debug, Clone, Builder)]
pub struct AgentConfig {
    /// Address that the agent listens on for entries.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub listen: SocketAddr,
    /// Address announced to entries; by default the one that the agent listens on.
    pub advertise: Option<SocketAddr>,
    /// Addresses of entries or of the load balancer in front of them.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Region and availability zone of the agent.
    pub site: Site,
    /// Whether the agent runs beside a backend server or a worker.
    pub host: Host,
    /// Address of the backend server or worker.
    pub local: SocketAddr,
    /// Slots, connections and resources of the host.
    pub capacity: Capacity,
    /// Classes that the host serves; every class if empty.
    #[builder(default)]
    pub classes: Vec<ClassName>,
    /// Longest duration of a planned stop.
    #[builder(default = Duration::from_secs(30))]
    pub drain_timeout: Duration,
    /// Longest wait for the backend server's answer.
    #[builder(default = Duration::from_mins(1))]
    pub answer_limit: Duration,
    /// Address of the metrics and health endpoints.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub metrics: SocketAddr,
    /// OTLP endpoint that spans are exported to.
    pub otlp_endpoint: Option<String>,
}

impl AgentConfig {
    /// Builds the configuration from individually validated settings.
    ///
    /// # Errors
    ///
    /// Returns every inconsistency between settings.
    pub fn from_values(values: &Values<AgentSetting>) -> Result<Self, Findings> {
        let mut findings = Findings::new();
        let listen = values.address(AgentSetting::Listen);
        let advertise = advertise_address(values, listen, &mut findings);
        let host = host(values);
        let capacity = capacity(values);
        check_capacity(host, &capacity, &mut findings);
        let otlp = values.text(AgentSetting::Otlp);
        let config = Self {
            listen,
            advertise,
            seeds: values.addresses(AgentSetting::Seeds).to_vec(),
            site: site(values),
            host,
            local: values.address(AgentSetting::Local),
            capacity,
            classes: classes(values),
            drain_timeout: Duration::from_secs(values.number(AgentSetting::Drain)),
            answer_limit: values.millis(AgentSetting::AnswerLimit),
            metrics: values.address(AgentSetting::Metrics),
            otlp_endpoint: (!otlp.is_empty()).then(|| otlp.to_owned()),
        };
        if config.seeds.is_empty() {
            findings.add("--seeds", "expected at least one address");
        }
        findings.into_result(config)
    }
}

fn advertise_address(
    values: &Values<AgentSetting>,
    listen: SocketAddr,
    findings: &mut Findings,
) -> Option<SocketAddr> {
    let advertise = values.address(AgentSetting::Advertise);
    if advertise.port() != 0 {
        return Some(advertise);
    }
    if listen.ip().is_unspecified() {
        findings.add(
            "--advertise",
            "entries can't reach a wildcard address; give the address of this machine",
        );
    }
    None
}

fn capacity(values: &Values<AgentSetting>) -> Capacity {
    Capacity {
        slots: values.number_u32(AgentSetting::Slots),
        connections: values.number_u32(AgentSetting::Connections),
        resources: Resources::new(
            values.number_u32(AgentSetting::Millicores),
            values.number_u32(AgentSetting::Memory),
            values.number_u32(AgentSetting::Accelerators),
        ),
    }
}

fn check_capacity(host: Host, capacity: &Capacity, findings: &mut Findings) {
    match host {
        Host::Backend => {
            if capacity.slots == 0 {
                findings.add("--slots", "a backend server needs at least one slot");
            }
            if capacity.connections == 0 {
                findings.add("--connections", "a backend server needs at least one");
            }
        }
        Host::Worker => {
            if capacity.resources.millicores == 0 {
                findings.add("--millicores", "a worker needs processor time");
            }
            if capacity.resources.memory_mib == 0 {
                findings.add("--memory", "a worker needs memory");
            }
        }
    }
}

fn host(values: &Values<AgentSetting>) -> Host {
    let host = values.text(AgentSetting::Host).parse();
    host.expect("choices are checked when settings are loaded")
}

fn site(values: &Values<AgentSetting>) -> Site {
    let checked = "names are checked when settings are loaded";
    Site {
        region: values.text(AgentSetting::Region).parse().expect(checked),
        zone: values.text(AgentSetting::Zone).parse().expect(checked),
    }
}

fn classes(values: &Values<AgentSetting>) -> Vec<ClassName> {
    let names = values.names(AgentSetting::Classes).iter();
    names
        .map(|name| {
            name.parse()
                .expect("names are checked when settings are loaded")
        })
        .collect()
}
