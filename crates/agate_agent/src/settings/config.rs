//! The agent's configuration, checked as a whole.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{ClassName, Findings, Host, Resources, Site};
use agate_settings::Values;
use agate_wire::message::Capacity;
use bon::Builder;

use super::AgentSetting;

/// What one agent needs to know.
#[derive(Debug, Clone, Builder)]
pub struct AgentConfig {
    /// Where entries connect.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub listen: SocketAddr,
    /// The address told to entries; none stands for the one listened on.
    pub advertise: Option<SocketAddr>,
    /// Entries, or the balancer in front of them.
    #[builder(default)]
    pub seeds: Vec<SocketAddr>,
    /// Where the agent runs.
    pub site: Site,
    /// What the agent runs beside.
    pub host: Host,
    /// Address of the backend server or worker.
    pub local: SocketAddr,
    /// What the host can carry at once.
    pub capacity: Capacity,
    /// Classes that the host serves; empty means every class.
    #[builder(default)]
    pub classes: Vec<ClassName>,
    /// Time for a planned stop.
    #[builder(default = Duration::from_secs(30))]
    pub drain_timeout: Duration,
    /// Longest wait for an answer of the backend server.
    #[builder(default = Duration::from_mins(1))]
    pub answer_limit: Duration,
    /// Where metrics and health are served.
    #[builder(default = SocketAddr::from(([127, 0, 0, 1], 0)))]
    pub metrics: SocketAddr,
    /// URL that spans are sent to.
    pub otlp_endpoint: Option<String>,
}

impl AgentConfig {
    /// Builds the configuration from settings that were checked one by one.
    ///
    /// # Errors
    ///
    /// Returns every place where settings don't fit each other.
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
        slots: values.small(AgentSetting::Slots),
        connections: values.small(AgentSetting::Connections),
        resources: Resources::new(
            values.small(AgentSetting::Millicores),
            values.small(AgentSetting::Memory),
            values.small(AgentSetting::Accelerators),
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
