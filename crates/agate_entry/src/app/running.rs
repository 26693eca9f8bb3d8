//! A running entry and its shutdown.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_super::{Control, Escalation, Supervisor};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::entry::{Drain, Entry};

/// A running entry.
#[derive(Debug)]
pub struct Running {
    entry: Arc<Entry>,
    addresses: Addresses,
    front: SupervisorTask,
    back: SupervisorTask,
}

/// Addresses of the listeners.
#[derive(Debug, Clone, Copy)]
pub(super) struct Addresses {
    pub(super) caller: SocketAddr,
    pub(super) operator: SocketAddr,
    pub(super) rpc: SocketAddr,
}

/// Outcome of a shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every request was answered in time.
    Clean,
    /// Open requests were reported as unknown to let the process end.
    Cut,
}

/// A supervisor and the task that runs it.
#[derive(Debug)]
struct SupervisorTask {
    control: Control,
    stop: CancellationToken,
    task: JoinHandle<Result<(), Escalation>>,
}

impl SupervisorTask {
    fn start(supervisor: Supervisor) -> Self {
        let (control, stop) = (supervisor.control(), CancellationToken::new());
        let task = tokio::spawn(supervisor.run(stop.clone()));
        Self {
            control,
            stop,
            task,
        }
    }
}

impl Running {
    pub(super) fn new(
        entry: Arc<Entry>,
        addresses: Addresses,
        front: Supervisor,
        back: Supervisor,
    ) -> Self {
        Self {
            entry,
            addresses,
            front: SupervisorTask::start(front),
            back: SupervisorTask::start(back),
        }
    }

    /// Returns the address for callers.
    pub const fn caller_address(&self) -> SocketAddr {
        self.addresses.caller
    }

    /// Returns the address for operators.
    pub const fn operator_address(&self) -> SocketAddr {
        self.addresses.operator
    }

    /// Returns the address for agents and other entries.
    pub const fn rpc_address(&self) -> SocketAddr {
        self.addresses.rpc
    }

    /// Returns handles that abort supervised tasks, as a crash would: first the caller listener's
    /// supervisor, then the rest.
    pub fn controls(&self) -> [Control; 2] {
        [self.front.control.clone(), self.back.control.clone()]
    }

    /// Returns a handle for shutting down the entry.
    pub fn shutdown(&self) -> Shutdown {
        Shutdown(self.entry.drain.clone())
    }

    /// Waits until the entry has shut down.
    ///
    /// # Errors
    ///
    /// Returns an [`Escalation`] if a task of the entry failed too often.
    pub async fn wait(mut self) -> Result<ShutdownOutcome, Escalation> {
        let drain = self.entry.drain.clone();
        tokio::select! {
            () = drain.leaving.cancelled() => {}
            ended = &mut self.front.task => return self.stop_after_failure(ended),
            ended = &mut self.back.task => return self.stop_after_failure(ended),
        }
        log::info!(event = "entry_leaving", open = drain.count(); "");
        let limits = self.entry.limits;
        let abort = drain.abort.clone();
        tokio::spawn(async move {
            sleep(limits.drain_timeout).await;
            abort.cancel();
        });
        // New requests are still served while the load balancer redirects traffic.
        let _ = drain
            .abort
            .run_until_cancelled(sleep(limits.leave_delay))
            .await;
        self.front.stop.cancel();
        let front = flatten((&mut self.front.task).await);
        drain.wait_idle().await;
        let cut = drain.abort.is_cancelled();
        self.back.stop.cancel();
        let back = flatten((&mut self.back.task).await);
        self.entry.tracer.clone().shutdown().await;
        front.and(back)?;
        let outcome = if cut {
            ShutdownOutcome::Cut
        } else {
            ShutdownOutcome::Clean
        };
        log::info!(event = "entry_ended", ending:? = outcome; "");
        Ok(outcome)
    }

    /// Shuts down after one supervisor has ended on its own.
    fn stop_after_failure(
        self,
        ended: Result<Result<(), Escalation>, tokio::task::JoinError>,
    ) -> Result<ShutdownOutcome, Escalation> {
        self.entry.drain.abort.cancel();
        self.front.stop.cancel();
        self.back.stop.cancel();
        flatten(ended)?;
        Err(Escalation {
            supervisor: "entry",
            child: "part",
            cause: "a supervisor of the entry ended unexpectedly".to_owned(),
        })
    }
}

/// Shuts down an entry.
#[derive(Debug, Clone)]
pub struct Shutdown(Drain);

impl Shutdown {
    /// Starts a graceful shutdown: open requests may finish within the drain timeout.
    pub fn leave(&self) {
        self.0.leaving.cancel();
    }

    /// Shuts down immediately: every open request is answered now, as unknown if its outcome is not
    /// known.
    pub fn abort(&self) {
        self.0.leaving.cancel();
        self.0.abort.cancel();
    }
}

fn flatten(
    ended: Result<Result<(), Escalation>, tokio::task::JoinError>,
) -> Result<(), Escalation> {
    ended.unwrap_or_else(|error| {
        Err(Escalation {
            supervisor: "entry",
            child: "supervisor",
            cause: error.to_string(),
        })
    })
}
