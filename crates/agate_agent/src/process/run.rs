//! The process, from loading settings to the exit code.

use std::process::ExitCode;
use std::sync::Arc;

use agate_settings::{Environment, Stop, load};
use log::LevelFilter;
use tokio::signal::unix::{Signal, SignalKind, signal};

use super::Agent;
use super::drain::DrainOutcome;
use crate::MachineClock;
use crate::settings::{AgentConfig, AgentSetting, PROGRAM};

/// Exit code for invalid settings.
const EXIT_USAGE: u8 = 2;

/// Exit code of a planned stop that aborted some work.
const EXIT_CUT_OFF: u8 = 3;

/// Runs an agent with settings from `args` and `environment` until a signal or a failure ends
/// it.
///
/// The exit code is 0 after a planned stop that finished all work, 1 after a failure, 2 for invalid
/// settings and 3 after a planned stop that aborted some work.
pub async fn run(args: &[String], environment: &Environment) -> ExitCode {
    let config = match configure(args, environment) {
        Ok(config) => config,
        Err(stop) => {
            stop.print();
            return ExitCode::from(stop.code);
        }
    };
    match serve(config).await {
        Ok(DrainOutcome::Complete) => ExitCode::SUCCESS,
        Ok(DrainOutcome::CutOff) => ExitCode::from(EXIT_CUT_OFF),
        Err(cause) => {
            log::error!(event = "agent_failed", cause = cause.as_str(); "");
            eprintln!("{cause}");
            ExitCode::FAILURE
        }
    }
}

fn configure(args: &[String], environment: &Environment) -> Result<AgentConfig, Stop> {
    let loaded = load::<AgentSetting>(&PROGRAM, args, environment)?;
    let usage_error = |text: String| Stop {
        text,
        code: EXIT_USAGE,
    };
    let config = AgentConfig::from_values(&loaded.values)
        .map_err(|findings| usage_error(findings.to_string()))?;
    let level = loaded.values.text(AgentSetting::LogLevel).parse();
    let level = level.unwrap_or(LevelFilter::Info);
    agate_telemetry::logs::init(level).map_err(|error| usage_error(error.to_string()))?;
    Ok(config)
}

async fn serve(config: AgentConfig) -> Result<DrainOutcome, String> {
    let mut terminate = handle_signal(SignalKind::terminate())?;
    let mut interrupt = handle_signal(SignalKind::interrupt())?;
    let mut agent = Agent::start(config, Arc::new(MachineClock)).map_err(|e| e.to_string())?;
    tokio::select! {
        cause = agent.wait_for_failure() => return Err(cause),
        _ = terminate.recv() => {}
        _ = interrupt.recv() => {}
    }
    let drained = {
        let drain = agent.drain();
        tokio::pin!(drain);
        tokio::select! {
            drained = &mut drain => drained,
            _ = terminate.recv() => {
                agent.cut_off();
                drain.await
            }
        }
    };
    agent.shut_down().await;
    Ok(drained)
}

fn handle_signal(kind: SignalKind) -> Result<Signal, String> {
    signal(kind).map_err(|error| format!("signals can't be handled: {error}"))
}
