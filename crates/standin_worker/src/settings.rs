//! Settings of the binary.

use agate_settings::{Describe, Kind, Program, Setting, Values};
use strum::EnumIter;

use crate::Config;

/// The binary.
pub const PROGRAM: Program = Program {
    name: "standin-worker",
    about: "A stand-in for a worker of the platform, for tests and the demo only.",
    prefix: "STANDIN_WORKER_",
};

/// One setting of the binary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum WorkerSetting {
    /// Where it listens.
    Listen,
    /// Lag of usage readings.
    Lag,
}

impl Describe for WorkerSetting {
    fn describe(self) -> Setting {
        match self {
            Self::Listen => Setting {
                flag: "listen",
                variable: "STANDIN_WORKER_LISTEN",
                about: "Where it listens",
                unit: "address",
                kind: Kind::Address,
                default: Some("127.0.0.1:0"),
            },
            Self::Lag => Setting {
                flag: "lag-ms",
                variable: "STANDIN_WORKER_LAG_MS",
                about: "Age of the newest usage reading that it tells",
                unit: "ms",
                kind: Kind::Number(0..=5_000),
                default: Some("500"),
            },
        }
    }
}

/// Builds the configuration from checked settings.
pub fn config(values: &Values<WorkerSetting>) -> Config {
    Config::builder()
        .listen(values.address(WorkerSetting::Listen))
        .lag(values.millis(WorkerSetting::Lag))
        .build()
}
