//! A running agent.

use std::net::{SocketAddr, TcpListener};
use std::sync::Arc;

use agate_core::Incarnation;
use agate_super::{Control, Escalation};
use agate_telemetry::spans::Tracer;
use displaydoc::Display;
use tokio::task::JoinHandle;
use tokio_util::sync::CancellationToken;

use super::drain::{DrainOutcome, drain};
use super::tree::{Listeners, build_tree};
use crate::clock::ProcessClock;
use crate::state::{Core, Phase};
use crate::{AgentConfig, Clock};

/// Reason why an agent did not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// the agent can't listen on {address}: {source}; give another --listen
    Listen {
        /// The address to listen on.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// span export can't be set up: {0}
    Spans(String),
}

impl std::error::Error for StartError {}

/// A running agent. Dropping it ends it at once.
#[derive(Debug)]
pub struct Agent {
    core: Arc<Core>,
    stop: CancellationToken,
    control: Control,
    supervisor_tree: JoinHandle<Result<(), Escalation>>,
}

impl Agent {
    /// Starts an agent on the caller's async runtime.
    ///
    /// # Errors
    ///
    /// Returns the reason if the agent can't listen or can't set up span export.
    pub fn start(config: AgentConfig, clock: Arc<dyn Clock>) -> Result<Self, StartError> {
        let failed = |source| StartError::Listen {
            address: config.listen,
            source,
        };
        let listener = TcpListener::bind(config.listen).map_err(failed)?;
        listener.set_nonblocking(true).map_err(failed)?;
        let address = listener.local_addr().map_err(failed)?;
        let tracer = tracer(&config)?;
        let metrics = config.metrics;
        let core = Core::new(config, address, ProcessClock::new(clock), tracer);
        let root = build_tree(
            &core,
            Listeners {
                rpc: listener,
                metrics,
            },
        );
        let stop = CancellationToken::new();
        let control = root.control();
        let incarnation = core.bindings().incarnation;
        log::info!(event = "agent_started", address:% = address, incarnation:% = incarnation; "");
        Ok(Self {
            core,
            control,
            supervisor_tree: tokio::spawn(root.run(stop.clone())),
            stop,
        })
    }

    /// Returns the address at which entries reach the agent.
    pub fn address(&self) -> SocketAddr {
        self.core.address
    }

    /// Returns the current incarnation.
    pub fn incarnation(&self) -> Incarnation {
        self.core.bindings().incarnation
    }

    /// Returns a handle that aborts supervised tasks, as a crash would.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Cuts a planned stop short: remaining work is aborted, and answered or reported as such.
    pub fn cut_off(&self) {
        self.core.advance(Phase::Ending);
    }

    /// Performs a planned stop: notifies entries, finishes accepted requests, and checkpoints and
    /// evicts runs.
    pub async fn drain(&self) -> DrainOutcome {
        drain(&self.core).await
    }

    /// Stops listening after pending answers are written, and ends the agent.
    pub async fn shut_down(mut self) {
        self.stop.cancel();
        if let Err(error) = (&mut self.supervisor_tree).await {
            log::error!(event = "tree_failed", cause:% = error; "");
        }
        self.core.tracer.clone().shutdown().await;
    }

    /// Waits until the supervisor tree ends and returns why. It ends only after a failure that
    /// restarts did not resolve.
    pub async fn wait_for_failure(&mut self) -> String {
        match (&mut self.supervisor_tree).await {
            Ok(Err(escalation)) => escalation.to_string(),
            Ok(Ok(())) => "the supervisor ended".to_owned(),
            Err(error) => error.to_string(),
        }
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.supervisor_tree.abort();
    }
}

fn tracer(config: &AgentConfig) -> Result<Tracer, StartError> {
    const SERVICE: &str = "agate-agent";
    let Some(endpoint) = &config.otlp_endpoint else {
        return Ok(Tracer::without_export(SERVICE));
    };
    let instance = Incarnation::random(&mut rand::rng());
    Tracer::exporting(SERVICE, instance, endpoint)
        .map_err(|error| StartError::Spans(error.to_string()))
}
