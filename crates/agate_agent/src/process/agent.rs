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

/// Why an agent did not start.
#[derive(Debug, Display)]
pub enum StartError {
    /// the agent can't listen on {address}: {source}; give another --listen
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the operating system said.
        source: std::io::Error,
    },
    /// spans can't be sent: {0}
    Spans(String),
}

impl std::error::Error for StartError {}

/// A running agent. It ends at once when it is dropped.
#[derive(Debug)]
pub struct Agent {
    core: Arc<Core>,
    stop: CancellationToken,
    control: Control,
    supervisor_tree: JoinHandle<Result<(), Escalation>>,
}

impl Agent {
    /// Starts an agent within the runtime of the caller.
    ///
    /// # Errors
    ///
    /// Returns why the agent can't listen or send spans.
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

    /// Where entries reach the agent.
    pub fn address(&self) -> SocketAddr {
        self.core.address
    }

    /// The incarnation of now.
    pub fn incarnation(&self) -> Incarnation {
        self.core.bindings().incarnation
    }

    /// Aborts supervised tasks, as a crash would.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Ends a planned stop that is under way: what is left is cut off and reported.
    pub fn cut_off(&self) {
        self.core.advance(Phase::Ending);
    }

    /// Stops the agent as planned: entries are told, what was taken is finished, runs are
    /// checkpointed and evicted.
    pub async fn drain(&self) -> DrainOutcome {
        drain(&self.core).await
    }

    /// Stops listening, once the answers under way are written, and ends.
    pub async fn shut_down(mut self) {
        self.stop.cancel();
        if let Err(error) = (&mut self.supervisor_tree).await {
            log::error!(event = "tree_failed", cause:% = error; "");
        }
        self.core.tracer.clone().shutdown().await;
    }

    /// Waits for the end of the supervisor tree, which comes only with a failure that restarts
    /// did not mend.
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
        return Ok(Tracer::silent(SERVICE));
    };
    let instance = Incarnation::random(&mut rand::rng());
    Tracer::exporting(SERVICE, instance, endpoint)
        .map_err(|error| StartError::Spans(error.to_string()))
}
