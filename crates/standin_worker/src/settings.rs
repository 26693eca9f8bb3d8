//! Settings of the `standin-worker` binary.

use agate_settings::{Describe, Kind, Program, Setting, Values};
use strum::EnumIter;

use crate::Config;

/// Name, description and variable prefix of the binary.
pub const PROGRAM: Program = Program {
    name: "standin-worker",
    about: "A stand-in for a worker of the platform, for tests and the demo only.",
    prefix: "STANDIN_WORKER_",
};

/// A setting of the binary.
#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
pub enum WorkerSetting {
    /// Address to listen on.
    Listen,
    /// Minimum age of a reported usage sample.
    Lag,
}

impl Describe for WorkerSetting {
    fn describe(self) -> Setting {
        match self {
            Self::Listen => Setting {
                flag: "listen",
                variable: "STANDIN_WORKER_LISTEN",
                about: "Address that the worker listens on",
                unit: "address",
                kind: Kind::Address,
                default: Some("127.0.0.1:0"),
            },
            Self::Lag => Setting {
                flag: "lag-ms",
                variable: "STANDIN_WORKER_LAG_MS",
                about: "Age of the newest usage reading that the worker reports",
                unit: "ms",
                kind: Kind::Number(0..=5_000),
                default: Some("500"),
            },
        }
    }
}

/// Builds the configuration from validated settings.
pub fn config(values: &Values<WorkerSetting>) -> Config {
    Config::builder()
        .listen(values.address(WorkerSetting::Listen))
        .lag(values.millis(WorkerSetting::Lag))
        .build()
}
