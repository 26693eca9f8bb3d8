//! Descriptions of the agent's settings.

use agate_core::Host;
use agate_settings::{Describe, Kind, Program, Setting};
use strum::{EnumIter, VariantNames};

/// Description of the `agate-agent` binary.
pub const PROGRAM: Program = Program {
    name: "agate-agent",
    about: "Serves the requests and runs that entries send to one backend server or worker.",
    prefix: "AGATE_AGENT_",
};

/// One setting of the agent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum AgentSetting {
    /// Address that the agent listens on for entries.
    Listen,
    /// Address announced to entries.
    Advertise,
    /// Addresses of entries for the first contact.
    Seeds,
    /// The region.
    Region,
    /// The availability zone.
    Zone,
    /// Kind of host that the agent runs beside.
    Host,
    /// Address of the backend server or worker.
    Local,
    /// Concurrent requests.
    Slots,
    /// Concurrent connections.
    Connections,
    /// Processor time for batch runs.
    Millicores,
    /// Memory for batch runs.
    Memory,
    /// Accelerators for batch runs.
    Accelerators,
    /// Classes that the host serves.
    Classes,
    /// Longest duration of a planned stop.
    Drain,
    /// Longest wait for the backend server's answer.
    AnswerLimit,
    /// Address of the metrics and health endpoints.
    Metrics,
    /// OTLP endpoint for spans.
    Otlp,
    /// Lowest severity that is logged.
    LogLevel,
}

impl Describe for AgentSetting {
    fn describe(self) -> Setting {
        match self {
            Self::Listen
            | Self::Advertise
            | Self::Seeds
            | Self::Region
            | Self::Zone
            | Self::Host
            | Self::Local => self.describe_location(),
            Self::Slots
            | Self::Connections
            | Self::Millicores
            | Self::Memory
            | Self::Accelerators
            | Self::Classes => self.describe_capacity(),
            Self::Drain | Self::AnswerLimit | Self::Metrics | Self::Otlp | Self::LogLevel => {
                self.describe_operation()
            }
        }
    }
}

impl AgentSetting {
    /// Describes the settings for addresses and location.
    fn describe_location(self) -> Setting {
        match self {
            Self::Advertise => Setting {
                flag: "advertise",
                variable: "AGATE_AGENT_ADVERTISE",
                about: "Address announced to entries; port 0 announces the address listened on",
                unit: "address",
                kind: Kind::Address,
                default: Some("0.0.0.0:0"),
            },
            Self::Seeds => Setting {
                flag: "seeds",
                variable: "AGATE_AGENT_SEEDS",
                about: "Addresses of entries, or of their load balancer, to contact first",
                unit: "addresses",
                kind: Kind::Addresses,
                default: None,
            },
            Self::Region => Setting {
                flag: "region",
                variable: "AGATE_AGENT_REGION",
                about: "Region that the agent runs in",
                unit: "name",
                kind: Kind::Name,
                default: None,
            },
            Self::Zone => Setting {
                flag: "zone",
                variable: "AGATE_AGENT_ZONE",
                about: "Availability zone that the agent runs in",
                unit: "name",
                kind: Kind::Name,
                default: None,
            },
            Self::Host => Setting {
                flag: "host",
                variable: "AGATE_AGENT_HOST",
                about: "Kind of process that the agent runs beside",
                unit: "kind",
                kind: Kind::Choice(Host::VARIANTS),
                default: None,
            },
            Self::Local => Setting {
                flag: "local",
                variable: "AGATE_AGENT_LOCAL",
                about: "Address of the backend server or worker on this machine",
                unit: "address",
                kind: Kind::Address,
                default: None,
            },
            _ => Setting {
                flag: "listen",
                variable: "AGATE_AGENT_LISTEN",
                about: "Address that the agent listens on for entries",
                unit: "address",
                kind: Kind::Address,
                default: None,
            },
        }
    }

    /// Describes the settings for the host's capacity and classes.
    fn describe_capacity(self) -> Setting {
        match self {
            Self::Slots => Setting {
                flag: "slots",
                variable: "AGATE_AGENT_SLOTS",
                about: "Requests that the backend server processes at once",
                unit: "requests",
                kind: Kind::Number(0..=65_535),
                default: Some("8"),
            },
            Self::Connections => Setting {
                flag: "connections",
                variable: "AGATE_AGENT_CONNECTIONS",
                about: "Connections that the backend server accepts from the agent",
                unit: "connections",
                kind: Kind::Number(0..=65_535),
                default: Some("64"),
            },
            Self::Millicores => Setting {
                flag: "millicores",
                variable: "AGATE_AGENT_MILLICORES",
                about: "Processor time that the worker has for batch runs",
                unit: "thousandths of a core",
                kind: Kind::Number(0..=10_000_000),
                default: Some("0"),
            },
            Self::Memory => Setting {
                flag: "memory",
                variable: "AGATE_AGENT_MEMORY",
                about: "Memory that the worker has for batch runs",
                unit: "MiB",
                kind: Kind::Number(0..=100_000_000),
                default: Some("0"),
            },
            Self::Accelerators => Setting {
                flag: "accelerators",
                variable: "AGATE_AGENT_ACCELERATORS",
                about: "Accelerators that the worker has for batch runs",
                unit: "accelerators",
                kind: Kind::Number(0..=1_024),
                default: Some("0"),
            },
            _ => Setting {
                flag: "classes",
                variable: "AGATE_AGENT_CLASSES",
                about: "Classes that the host serves; empty for every class",
                unit: "names",
                kind: Kind::Names,
                default: Some(""),
            },
        }
    }

    /// Describes the settings for operation.
    fn describe_operation(self) -> Setting {
        match self {
            Self::Drain => Setting {
                flag: "drain-seconds",
                variable: "AGATE_AGENT_DRAIN_SECONDS",
                about: "Longest planned stop; work left after it is aborted and reported",
                unit: "s",
                kind: Kind::Number(1..=3_600),
                default: Some("30"),
            },
            Self::AnswerLimit => Setting {
                flag: "answer-limit-ms",
                variable: "AGATE_AGENT_ANSWER_LIMIT_MS",
                about: "Longest wait for the backend server's answer, even past the deadline",
                unit: "ms",
                kind: Kind::Number(100..=3_600_000),
                default: Some("60000"),
            },
            Self::Metrics => Setting {
                flag: "metrics",
                variable: "AGATE_AGENT_METRICS",
                about: "Address of the metrics and health endpoints",
                unit: "address",
                kind: Kind::Address,
                default: Some("127.0.0.1:0"),
            },
            Self::Otlp => Setting {
                flag: "otlp-endpoint",
                variable: "AGATE_AGENT_OTLP_ENDPOINT",
                about: "URL of the OTLP endpoint that spans are exported to; empty exports none",
                unit: "URL",
                kind: Kind::Text,
                default: Some(""),
            },
            _ => Setting {
                flag: "log-level",
                variable: "AGATE_AGENT_LOG_LEVEL",
                about: "Lowest severity that is logged",
                unit: "level",
                kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
                default: Some("info"),
            },
        }
    }
}
