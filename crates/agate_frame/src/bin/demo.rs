//! Runs the demo and prints a table of its checks. Exits with 0 only if every check holds.

use std::path::PathBuf;
use std::process::ExitCode;

use agate_frame::demo::run_demo;
use bpaf::{Parser, construct};
use rand::SeedableRng;
use rand::rngs::StdRng;

#[derive(Debug, Clone)]
struct Options {
    seed: u64,
    logs: PathBuf,
}

fn options() -> Options {
    let seed = bpaf::long("seed")
        .help("Seed of the demo's random choices")
        .argument("SEED")
        .fallback(1);
    let logs = bpaf::long("logs")
        .help("Folder for the logs of the processes")
        .argument("DIR")
        .fallback(PathBuf::from("target/demo"));
    construct!(Options { seed, logs })
        .to_options()
        .descr("A tour of agatenotch on loopback.")
        .run()
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options();
    let mut rng = StdRng::seed_from_u64(options.seed);
    match run_demo(&options.logs, &mut rng).await {
        Ok(checks) => {
            println!("{checks}");
            if checks.all_hold() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            }
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
