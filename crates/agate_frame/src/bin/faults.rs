//! Runs load and faults on loopback and prints the injected faults and the checks. Exits with 0
//! only if faults were injected and every check holds.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use agate_frame::faults::drive;
use agate_frame::table::conclude;
use bpaf::{Parser, construct};

#[derive(Debug, Clone)]
struct Options {
    seed: u64,
    seconds: u64,
    logs: PathBuf,
}

fn options() -> Options {
    let seed = bpaf::long("seed")
        .help("Seed of load and faults")
        .argument("SEED")
        .fallback(1);
    let seconds = bpaf::long("seconds")
        .help("Time for which faults are injected")
        .argument("S")
        .fallback(30);
    let logs = bpaf::long("logs")
        .help("Folder for the logs of the processes")
        .argument("DIR")
        .fallback(PathBuf::from("target/faults"));
    construct!(Options {
        seed,
        seconds,
        logs
    })
    .to_options()
    .descr("Faults on loopback.")
    .run()
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options();
    let result = drive(
        options.seed,
        Duration::from_secs(options.seconds),
        &options.logs,
    )
    .await;
    conclude(result)
}
