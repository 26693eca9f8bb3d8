//! Entry point of the `agate-agent` binary.

use std::process::ExitCode;

use agate_settings::Environment;

#[tokio::main]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    agate_agent::run(&args, &Environment::of_process()).await
}
