//! An entry that runs, and its shutdown.

use std::net::SocketAddr;
use std::sync::Arc;

use agate_super::{Control, Escalation, Supervisor};
use tokio::task::JoinHandle;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

use crate::entry::{Drain, Entry};

/// An entry that runs.
#[derive(Debug)]
pub struct Running {
    entry: Arc<Entry>,
    addresses: Addresses,
    front: Part,
    back: Part,
}

/// Where the listeners are.
#[derive(Debug, Clone, Copy)]
pub(super) struct Addresses {
    pub(super) caller: SocketAddr,
    pub(super) operator: SocketAddr,
    pub(super) rpc: SocketAddr,
}

/// How an entry ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ShutdownOutcome {
    /// Every request was answered in its own time.
    Clean,
    /// Open requests were reported as unknown so that the process could end.
    Cut,
}

/// One supervisor that runs as a task.
#[derive(Debug)]
struct Part {
    control: Control,
    stop: CancellationToken,
    task: JoinHandle<Result<(), Escalation>>,
}

impl Part {
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
            front: Part::start(front),
            back: Part::start(back),
        }
    }

    /// Where callers connect.
    pub const fn caller_address(&self) -> SocketAddr {
        self.addresses.caller
    }

    /// Where operators connect.
    pub const fn operator_address(&self) -> SocketAddr {
        self.addresses.operator
    }

    /// Where agents and other entries connect.
    pub const fn rpc_address(&self) -> SocketAddr {
        self.addresses.rpc
    }

    /// Handles that abort supervised tasks, as a crash would: callers' listener first, then the
    /// rest.
    pub fn controls(&self) -> [Control; 2] {
        [self.front.control.clone(), self.back.control.clone()]
    }

    /// A handle that ends the entry.
    pub fn shutdown(&self) -> Shutdown {
        Shutdown(self.entry.drain.clone())
    }

    /// Runs until the entry has shut down.
    ///
    /// # Errors
    ///
    /// Returns an [`Escalation`] if a task of the entry failed too often.
    pub async fn wait(mut self) -> Result<ShutdownOutcome, Escalation> {
        let drain = self.entry.drain.clone();
        tokio::select! {
            () = drain.leaving.cancelled() => {}
            ended = &mut self.front.task => return self.fail(ended),
            ended = &mut self.back.task => return self.fail(ended),
        }
        log::info!(event = "entry_leaving", open = drain.count(); "");
        let limits = self.entry.limits;
        let abort = drain.abort.clone();
        tokio::spawn(async move {
            sleep(limits.drain_timeout).await;
            abort.cancel();
        });
        // New requests are still served while the balancer turns away.
        let _ = drain
            .abort
            .run_until_cancelled(sleep(limits.leave_delay))
            .await;
        self.front.stop.cancel();
        let front = flatten((&mut self.front.task).await);
        drain.empty().await;
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

    /// Ends the rest after one part has ended by itself.
    fn fail(
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
            cause: "a part of the entry ended by itself".to_owned(),
        })
    }
}

/// Ends an entry.
#[derive(Debug, Clone)]
pub struct Shutdown(Drain);

impl Shutdown {
    /// Begins a graceful shutdown: what is open finishes, up to the drain limit.
    pub fn leave(&self) {
        self.0.leaving.cancel();
    }

    /// Ends at once: every open request is answered now, as unknown if its outcome isn't known.
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
