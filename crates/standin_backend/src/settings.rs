//! Settings of the binary.

use std::time::Duration;

use agate_settings::{Describe, Kind, Program, Setting, Values};
use strum::EnumIter;

use crate::{Config, ServiceTime};

/// The binary.
pub const PROGRAM: Program = Program {
    name: "standin-backend",
    about: "A stand-in for a backend server, for tests and the demo only.",
    prefix: "STANDIN_BACKEND_",
};

/// One setting of the binary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum BackendSetting {
    /// Where it listens.
    Listen,
    /// Requests at once.
    Slots,
    /// Connections.
    Connections,
    /// Shortest service time.
    ServiceLow,
    /// Longest service time.
    ServiceHigh,
    /// Seed.
    Seed,
}

impl Describe for BackendSetting {
    fn describe(self) -> Setting {
        match self {
            Self::Listen => Setting {
                flag: "listen",
                variable: "STANDIN_BACKEND_LISTEN",
                about: "Where it listens",
                unit: "address",
                kind: Kind::Address,
                default: Some("127.0.0.1:0"),
            },
            Self::Slots => number("slots", "STANDIN_BACKEND_SLOTS", "8", "requests"),
            Self::Connections => number(
                "connections",
                "STANDIN_BACKEND_CONNECTIONS",
                "64",
                "connections",
            ),
            Self::ServiceLow => number(
                "service-low-us",
                "STANDIN_BACKEND_SERVICE_LOW_US",
                "5000",
                "us",
            ),
            Self::ServiceHigh => number(
                "service-high-us",
                "STANDIN_BACKEND_SERVICE_HIGH_US",
                "5000",
                "us",
            ),
            Self::Seed => number("seed", "STANDIN_BACKEND_SEED", "1", "seed"),
        }
    }
}

fn number(
    flag: &'static str,
    variable: &'static str,
    default: &'static str,
    unit: &'static str,
) -> Setting {
    let about = match flag {
        "slots" => "Requests that it works on at once",
        "connections" => "Connections that it accepts work from",
        "service-low-us" => "Shortest service time",
        "service-high-us" => "Longest service time",
        _ => "Seed of the service times",
    };
    Setting {
        flag,
        variable,
        about,
        unit,
        kind: Kind::Number(0..=u64::from(u32::MAX)),
        default: Some(default),
    }
}

/// Builds the configuration from checked settings.
pub fn config(values: &Values<BackendSetting>) -> Config {
    let micros = |setting| Duration::from_micros(values.number(setting));
    Config::builder()
        .listen(values.address(BackendSetting::Listen))
        .slots(values.small(BackendSetting::Slots))
        .connections(values.small(BackendSetting::Connections))
        .service(ServiceTime::Uniform {
            low: micros(BackendSetting::ServiceLow),
            high: micros(BackendSetting::ServiceHigh),
        })
        .seed(values.number(BackendSetting::Seed))
        .build()
}
