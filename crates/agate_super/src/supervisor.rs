//! Supervisors: start, restart, escalation and shutdown of child tasks.

use std::collections::HashMap;
use std::time::Duration;

use displaydoc::Display;
use tokio::sync::mpsc;
use tokio::task::{AbortHandle, Id, JoinError, JoinSet};
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

use crate::child::{Child, ChildError, ChildFuture, Restart};
use crate::policy::{History, Policy};

/// supervisor {supervisor}: child {child} failed too often: {cause}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct Escalation {
    /// The supervisor that gave up.
    pub supervisor: &'static str,
    /// The child that failed.
    pub child: &'static str,
    /// The last failure of the child.
    pub cause: String,
}

impl std::error::Error for Escalation {}

impl From<Escalation> for ChildError {
    fn from(escalation: Escalation) -> Self {
        Self(escalation.to_string())
    }
}

/// Handle that aborts children of a running supervisor, as a crash would.
#[derive(Debug, Clone)]
pub struct Control(mpsc::UnboundedSender<&'static str>);

impl Control {
    /// Aborts the running task of the child `name`. Its supervisor treats this as a failure.
    pub fn kill(&self, name: &'static str) {
        // Sending fails only if the supervisor has ended, with no children left to abort.
        let _ = self.0.send(name);
    }
}

/// Starts children, restarts them according to the policy and escalates if one fails too often.
///
/// A supervisor can be the child of another one: [`Supervisor::run`] fails with an [`Escalation`],
/// which converts into a [`ChildError`].
#[derive(Debug)]
pub struct Supervisor {
    name: &'static str,
    policy: Policy,
    children: Vec<Child>,
    kills: mpsc::UnboundedReceiver<&'static str>,
    control: Control,
}

impl Supervisor {
    /// Creates a supervisor without children.
    pub fn new(name: &'static str, policy: Policy) -> Self {
        let (sender, kills) = mpsc::unbounded_channel();
        Self {
            name,
            policy,
            children: Vec::new(),
            kills,
            control: Control(sender),
        }
    }

    /// Adds a child. `start` creates its future for the first start and for each restart.
    pub fn child<F, Fut>(&mut self, name: &'static str, restart: Restart, mut start: F) -> &mut Self
    where
        F: FnMut(CancellationToken) -> Fut + Send + 'static,
        Fut: Future<Output = Result<(), ChildError>> + Send + 'static,
    {
        let factory = Box::new(move |stop| -> ChildFuture { Box::pin(start(stop)) });
        self.children.push(Child {
            name,
            restart,
            factory,
        });
        self
    }

    /// Returns a handle that aborts children.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Runs until every child has ended, or until `stop` is cancelled and the children have been
    /// stopped.
    ///
    /// # Errors
    ///
    /// Returns an [`Escalation`] if a child failed too often, after stopping the other children.
    pub async fn run(self, stop: CancellationToken) -> Result<(), Escalation> {
        let mut kills = self.kills;
        let mut state = RunState::new(self.name, self.policy, self.children, stop.child_token());
        state.start_all();
        let result = loop {
            tokio::select! {
                () = stop.cancelled() => break Ok(()),
                Some(name) = kills.recv() => state.kill(name),
                exit = state.tasks.join_next_with_id() => match exit {
                    None => break Ok(()),
                    Some(exit) => if let Err(escalation) = state.handle_exit(exit) {
                        break Err(escalation);
                    },
                },
            }
        };
        state.stop_all().await;
        result
    }
}

/// State of a running supervisor.
struct RunState {
    name: &'static str,
    policy: Policy,
    children: Vec<Child>,
    histories: Vec<History>,
    tasks: JoinSet<Result<(), ChildError>>,
    by_task: HashMap<Id, (usize, AbortHandle)>,
    stop: CancellationToken,
}

type TaskExit = Result<(Id, Result<(), ChildError>), JoinError>;

impl RunState {
    fn new(
        name: &'static str,
        policy: Policy,
        children: Vec<Child>,
        stop: CancellationToken,
    ) -> Self {
        let histories = children.iter().map(|_| History::default()).collect();
        Self {
            name,
            policy,
            children,
            histories,
            tasks: JoinSet::new(),
            by_task: HashMap::new(),
            stop,
        }
    }

    fn start_all(&mut self) {
        for index in 0..self.children.len() {
            self.start(index, Duration::ZERO);
        }
    }

    fn start(&mut self, index: usize, delay: Duration) {
        let future = (self.children[index].factory)(self.stop.child_token());
        let handle = self.tasks.spawn(async move {
            sleep(delay).await;
            future.await
        });
        self.by_task.insert(handle.id(), (index, handle));
    }

    fn kill(&self, name: &str) {
        let mut handles = self
            .by_task
            .values()
            .filter(|(index, _)| self.children[*index].name == name);
        if let Some((_, handle)) = handles.next() {
            handle.abort();
        }
    }

    /// Restarts a child that has ended, or escalates, as its restart kind and the policy say.
    fn handle_exit(&mut self, exit: TaskExit) -> Result<(), Escalation> {
        let (id, failure) = match exit {
            Ok((id, Ok(()))) => (id, None),
            Ok((id, Err(error))) => (id, Some(error.to_string())),
            Err(error) => (error.id(), Some(error.to_string())),
        };
        let Some((index, _)) = self.by_task.remove(&id) else {
            return Ok(());
        };
        let child = &self.children[index];
        log_exit(self.name, child.name, failure.as_deref());
        let should_restart = match child.restart {
            Restart::Permanent => true,
            Restart::Transient => failure.is_some(),
            Restart::Temporary => false,
        };
        if should_restart {
            self.restart(index, failure)
        } else {
            Ok(())
        }
    }

    fn restart(&mut self, index: usize, failure: Option<String>) -> Result<(), Escalation> {
        let recent = self.histories[index].record(Instant::now(), self.policy.window);
        if recent >= self.policy.restarts {
            let cause = failure.unwrap_or_else(|| "it ended unexpectedly".to_owned());
            return Err(Escalation {
                supervisor: self.name,
                child: self.children[index].name,
                cause,
            });
        }
        let delay = self.policy.delay(recent, &mut rand::rng());
        self.start(index, delay);
        Ok(())
    }

    /// Stops every child and aborts those that have not ended within the grace time.
    async fn stop_all(&mut self) {
        self.stop.cancel();
        let all_ended = async { while self.tasks.join_next().await.is_some() {} };
        if timeout(self.policy.grace, all_ended).await.is_err() {
            log::warn!(event = "children_aborted", supervisor = self.name; "grace time exceeded");
            self.tasks.shutdown().await;
        }
    }
}

fn log_exit(supervisor: &str, child: &str, failure: Option<&str>) {
    match failure {
        Some(cause) => {
            log::error!(event = "child_failed", supervisor, child, cause; "child failed");
        }
        None => {
            log::info!(event = "child_ended", supervisor, child; "child ended");
        }
    }
}
