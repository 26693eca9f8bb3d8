//! Settings of the `standin-backend` binary.

use std::time::Duration;

use agate_settings::{Describe, Kind, Program, Setting, Values};
use strum::EnumIter;

use crate::{Config, ServiceTime};

/// Upper bound of both service time settings.
const MAX_SERVICE_US: u64 = 60_000_000;

/// Name, description and variable prefix of the binary.
pub const PROGRAM: Program = Program {
    name: "standin-backend",
    about: "A stand-in for a backend server, for tests and the demo only.",
    prefix: "STANDIN_BACKEND_",
};

/// A setting of the binary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum BackendSetting {
    /// Address to listen on.
    Listen,
    /// Maximum number of concurrent requests.
    Slots,
    /// Maximum number of connections that carry work.
    Connections,
    /// Shortest service time.
    ServiceLow,
    /// Longest service time.
    ServiceHigh,
    /// Seed of the service times.
    Seed,
}

impl Describe for BackendSetting {
    fn describe(self) -> Setting {
        match self {
            Self::Listen => Setting {
                flag: "listen",
                variable: "STANDIN_BACKEND_LISTEN",
                about: "Address that the backend server listens on",
                unit: "address",
                kind: Kind::Address,
                default: Some("127.0.0.1:0"),
            },
            Self::Slots => Setting {
                flag: "slots",
                variable: "STANDIN_BACKEND_SLOTS",
                about: "Requests that the backend server processes at once",
                unit: "requests",
                kind: Kind::Number(0..=65_535),
                default: Some("8"),
            },
            Self::Connections => Setting {
                flag: "connections",
                variable: "STANDIN_BACKEND_CONNECTIONS",
                about: "Connections that the backend server accepts requests on",
                unit: "connections",
                kind: Kind::Number(0..=65_535),
                default: Some("64"),
            },
            Self::ServiceLow => Setting {
                flag: "service-low-us",
                variable: "STANDIN_BACKEND_SERVICE_LOW_US",
                about: "Shortest service time",
                unit: "us",
                kind: Kind::Number(0..=MAX_SERVICE_US),
                default: Some("5000"),
            },
            Self::ServiceHigh => Setting {
                flag: "service-high-us",
                variable: "STANDIN_BACKEND_SERVICE_HIGH_US",
                about: "Longest service time",
                unit: "us",
                kind: Kind::Number(0..=MAX_SERVICE_US),
                default: Some("5000"),
            },
            Self::Seed => Setting {
                flag: "seed",
                variable: "STANDIN_BACKEND_SEED",
                about: "Seed of the service times",
                unit: "seed",
                kind: Kind::Number(0..=u64::MAX),
                default: Some("1"),
            },
        }
    }
}

/// Builds the configuration from validated settings.
pub fn config(values: &Values<BackendSetting>) -> Config {
    let micros = |setting| Duration::from_micros(values.number(setting));
    Config::builder()
        .listen(values.address(BackendSetting::Listen))
        .slots(values.number_u32(BackendSetting::Slots))
        .connections(values.number_u32(BackendSetting::Connections))
        .service(ServiceTime::Uniform {
            low: micros(BackendSetting::ServiceLow),
            high: micros(BackendSetting::ServiceHigh),
        })
        .seed(values.number(BackendSetting::Seed))
        .build()
}
