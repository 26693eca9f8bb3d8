//! Settings of `agate-entry`.

use agate_settings::{Describe, Kind, Program, Setting};
use strum::EnumIter;

/// The program's name and description.
pub const PROGRAM: Program = Program {
    name: "agate-entry",
    about: "Takes requests and jobs from callers, routes requests to backend servers and places tasks on workers.",
    prefix: "AGATE_ENTRY_",
};

/// The settings of `agate-entry`.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum EntrySetting {
    /// Listen address for callers.
    CallerListen,
    /// Listen address for operators.
    OperatorListen,
    /// Listen address for agents and other entries.
    RpcListen,
    /// Address at which agents and other entries reach the RPC listener.
    Advertise,
    /// Initial contacts.
    Seeds,
    /// Region of this process.
    Region,
    /// Availability zone of this process.
    Zone,
    /// Address of the platform's log.
    Log,
    /// Operator token.
    Token,
    /// Minimum log level.
    LogLevel,
    /// Collector for spans.
    Otlp,
    /// Time limit of a graceful shutdown.
    Drain,
    /// Delay between announcing a shutdown and closing the listeners.
    Leave,
    /// Largest request body.
    BodyBytes,
    /// Maximum number of RPC connections.
    Connections,
    /// Maximum number of open requests.
    Inflight,
    /// Most memory of the bodies of all open requests.
    Unfinished,
    /// Time for which records wait to share an append.
    Group,
    /// Mean interval between checks for a due snapshot.
    Snapshot,
}

impl Describe for EntrySetting {
    fn describe(self) -> Setting {
        match self {
            Self::CallerListen
            | Self::OperatorListen
            | Self::RpcListen
            | Self::Advertise
            | Self::Seeds
            | Self::Log
            | Self::Otlp => self.describe_network(),
            Self::Region | Self::Zone | Self::Token | Self::LogLevel => self.describe_identity(),
            Self::Drain
            | Self::Leave
            | Self::BodyBytes
            | Self::Connections
            | Self::Inflight
            | Self::Unfinished
            | Self::Group
            | Self::Snapshot => self.describe_limit(),
        }
    }
}

impl EntrySetting {
    fn describe_network(self) -> Setting {
        match self {
            Self::CallerListen => address(
                "caller-listen",
                "AGATE_ENTRY_CALLER_LISTEN",
                "Address that the entry listens on for callers",
            ),
            Self::OperatorListen => address(
                "operator-listen",
                "AGATE_ENTRY_OPERATOR_LISTEN",
                "Address that the entry listens on for operators; also serves /metrics and /health",
            ),
            Self::RpcListen => address(
                "rpc-listen",
                "AGATE_ENTRY_RPC_LISTEN",
                "Address that the entry listens on for agents and other entries",
            ),
            Self::Advertise => address(
                "advertise",
                "AGATE_ENTRY_ADVERTISE",
                "Address at which agents and other entries reach the RPC listener, bypassing the load balancer",
            ),
            Self::Log => address("log", "AGATE_ENTRY_LOG", "Address of the platform's log"),
            Self::Seeds => Setting {
                flag: "seeds",
                variable: "AGATE_ENTRY_SEEDS",
                about: "RPC addresses of other entries, or of their load balancer, to contact first",
                unit: "addresses",
                kind: Kind::Addresses,
                default: Some(""),
            },
            _ => Setting {
                flag: "otlp-endpoint",
                variable: "AGATE_ENTRY_OTLP_ENDPOINT",
                about: "OTLP/HTTP endpoint that spans are exported to; empty exports none",
                unit: "URL",
                kind: Kind::Text,
                default: Some(""),
            },
        }
    }

    fn describe_identity(self) -> Setting {
        match self {
            Self::Region => name(
                "region",
                "AGATE_ENTRY_REGION",
                "Region of this process",
                "default",
            ),
            Self::Zone => name(
                "zone",
                "AGATE_ENTRY_ZONE",
                "Availability zone of this process",
                "default",
            ),
            Self::Token => Setting {
                flag: "operator-token",
                variable: "AGATE_ENTRY_OPERATOR_TOKEN",
                about: "Token that operators present; the same for every entry, since tickets are signed with it",
                unit: "text",
                kind: Kind::Secret,
                default: None,
            },
            _ => Setting {
                flag: "log-level",
                variable: "AGATE_ENTRY_LOG_LEVEL",
                about: "Lowest severity that is logged",
                unit: "level",
                kind: Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
                default: Some("info"),
            },
        }
    }

    fn describe_limit(self) -> Setting {
        let (flag, variable, about, unit, range, default) = match self {
            Self::Drain => (
                "drain-seconds",
                "AGATE_ENTRY_DRAIN_SECONDS",
                "Time for a graceful shutdown, after which open requests are reported as unknown",
                "s",
                1..=3_600,
                "30",
            ),
            Self::Leave => (
                "leave-ms",
                "AGATE_ENTRY_LEAVE_MS",
                "Delay between announcing a shutdown and closing the listeners, for the load balancer to stop routing here",
                "ms",
                0..=60_000,
                "2000",
            ),
            Self::BodyBytes => (
                "body-bytes",
                "AGATE_ENTRY_BODY_BYTES",
                "Largest request body",
                "bytes",
                1_024..=1_048_576,
                "1048576",
            ),
            Self::Connections => (
                "rpc-connections",
                "AGATE_ENTRY_RPC_CONNECTIONS",
                "Connections of agents and other entries",
                "connections",
                1..=100_000,
                "4096",
            ),
            Self::Inflight => (
                "inflight",
                "AGATE_ENTRY_INFLIGHT",
                "Maximum number of open caller requests; further requests are refused immediately",
                "requests",
                1..=100_000,
                "1024",
            ),
            Self::Unfinished => (
                "unfinished-mb",
                "AGATE_ENTRY_UNFINISHED_MB",
                "Memory of the bodies of all open requests; beyond it, the request that has held the most for longest and isn't complete is refused",
                "MiB",
                4..=65_536,
                "64",
            ),
            Self::Group => (
                "group-ms",
                "AGATE_ENTRY_GROUP_MS",
                "Time for which records wait to share one append",
                "ms",
                0..=1_000,
                "5",
            ),
            _ => (
                "snapshot-seconds",
                "AGATE_ENTRY_SNAPSHOT_SECONDS",
                "Mean interval between checks for a due snapshot; at most an eighth of the log's retention",
                "s",
                1..=86_400,
                "300",
            ),
        };
        Setting {
            flag,
            variable,
            about,
            unit,
            kind: Kind::Number(range),
            default: Some(default),
        }
    }
}

const fn address(flag: &'static str, variable: &'static str, about: &'static str) -> Setting {
    Setting {
        flag,
        variable,
        about,
        unit: "address",
        kind: Kind::Address,
        default: None,
    }
}

const fn name(
    flag: &'static str,
    variable: &'static str,
    about: &'static str,
    default: &'static str,
) -> Setting {
    Setting {
        flag,
        variable,
        about,
        unit: "name",
        kind: Kind::Name,
        default: Some(default),
    }
}
