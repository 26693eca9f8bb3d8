//! The `agate-entry` program.

use std::process::ExitCode;

use agate_entry::{EntryConfig, EntrySetting, PROGRAM, Running, ShutdownOutcome};
use agate_settings::{Environment, Values, load};
use agate_telemetry::logs;
use log::LevelFilter;
use tokio::signal::unix::{SignalKind, signal};

/// Exit code after a failed start or a task that failed too often.
const EXIT_FAILED: u8 = 1;
/// Exit code after a shutdown that reported open requests as unknown.
const EXIT_CUT: u8 = 3;

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let loaded = match load::<EntrySetting>(&PROGRAM, &args, &Environment::of_process()) {
        Ok(loaded) => loaded,
        Err(stop) => {
            stop.print();
            return ExitCode::from(stop.code);
        }
    };
    let level = loaded.values.text(EntrySetting::LogLevel).parse();
    if let Err(error) = logs::init(level.unwrap_or(LevelFilter::Info)) {
        eprintln!("failed to set up logging: {error}");
        return ExitCode::from(EXIT_FAILED);
    }
    match run(&loaded.values) {
        Ok(ShutdownOutcome::Clean) => ExitCode::SUCCESS,
        Ok(ShutdownOutcome::Cut) => ExitCode::from(EXIT_CUT),
        Err(error) => {
            log::error!(event = "entry_failed", cause:% = error; "");
            ExitCode::from(EXIT_FAILED)
        }
    }
}

#[tokio::main]
async fn run(values: &Values<EntrySetting>) -> Result<ShutdownOutcome, Box<dyn std::error::Error>> {
    let config = EntryConfig::from_settings(values)?;
    let running = agate_entry::start(config).await?;
    watch_signals(&running)?;
    Ok(running.wait().await?)
}

/// Starts a graceful shutdown on the first signal and an immediate one on the second.
fn watch_signals(running: &Running) -> std::io::Result<()> {
    let shutdown = running.shutdown();
    let mut term = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        for step in [agate_entry::Shutdown::leave, agate_entry::Shutdown::abort] {
            tokio::select! {
                _ = term.recv() => {}
                _ = interrupt.recv() => {}
            }
            step(&shutdown);
        }
    });
    Ok(())
}
