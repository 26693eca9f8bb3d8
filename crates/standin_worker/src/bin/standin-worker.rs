//! Runs the stand-in worker.

use std::process::ExitCode;

use agate_settings::{Environment, load};
use standin_worker::{PROGRAM, config, serve};

#[tokio::main]
async fn main() -> ExitCode {
    env_logger::init();
    let args: Vec<String> = std::env::args().skip(1).collect();
    let loaded = match load(&PROGRAM, &args, &Environment::of_process()) {
        Ok(loaded) => loaded,
        Err(stop) => {
            stop.print();
            return ExitCode::from(stop.code);
        }
    };
    let handle = match serve(&config(&loaded.values)) {
        Ok(handle) => handle,
        Err(error) => {
            eprintln!("{error}");
            return ExitCode::FAILURE;
        }
    };
    println!("listening address={}", handle.address());
    std::future::pending::<()>().await;
    ExitCode::SUCCESS
}
