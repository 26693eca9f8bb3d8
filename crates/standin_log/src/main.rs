//! Serves the stand-in log until it receives SIGTERM or SIGINT.

use std::net::SocketAddr;
use std::time::Duration;

use bpaf::Bpaf;
use standin_log::{Config, Limits, ServeError, serve};
use tokio::signal::unix::{SignalKind, signal};

/// Stand-in for the platform's append-only log service. Keeps everything in memory.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
struct Flags {
    /// Address and port to listen on
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7400))), display_fallback)]
    listen: SocketAddr,
    /// Time for which an append is kept, in seconds
    #[bpaf(argument("SECONDS"), fallback(3600), display_fallback)]
    retention_s: u64,
    /// Appends accepted each second over all streams
    #[bpaf(argument("COUNT"), fallback(500), display_fallback)]
    appends_per_s: u32,
}

#[tokio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let flags = flags().run();
    agate_telemetry::logs::init(log::LevelFilter::Info)?;
    let limits = Limits {
        retention: Duration::from_secs(flags.retention_s),
        appends_per_second: flags.appends_per_s,
    };
    let config = Config::builder()
        .listen(flags.listen)
        .limits(limits)
        .build();
    let handle = serve(config).await?;
    let mut terminate = signal(SignalKind::terminate())?;
    tokio::select! {
        _ = terminate.recv() => {}
        result = tokio::signal::ctrl_c() => result?,
    }
    handle
        .close()
        .await
        .map_err(|error: ServeError| error.into())
}
