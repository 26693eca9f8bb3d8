//! The supervisor.

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
    /// Its last failure.
    pub cause: String,
}

impl std::error::Error for Escalation {}

impl From<Escalation> for ChildError {
    fn from(escalation: Escalation) -> Self {
        Self(escalation.to_string())
    }
}

/// Aborts children from outside, as a crash would.
#[derive(Debug, Clone)]
pub struct Control(mpsc::UnboundedSender<&'static str>);

impl Control {
    /// Aborts the running task of the child called `name`; its supervisor sees a failure.
    pub fn kill(&self, name: &'static str) {
        // A supervisor that has ended has no children left to abort.
        let _ = self.0.send(name);
    }
}

/// Starts children, restarts them by policy and escalates when one fails too often.
///
/// A supervisor can be the child of another: its run is a future that ends with an
/// [`Escalation`], which converts into a [`ChildError`].
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

    /// Adds a child; `start` makes its future, at first and after each restart.
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

    /// A handle that aborts children.
    pub fn control(&self) -> Control {
        self.control.clone()
    }

    /// Runs until every child has ended or `stop` is cancelled and the children have followed.
    ///
    /// # Errors
    ///
    /// Returns an [`Escalation`] if a child failed too often; the other children are ended first.
    pub async fn run(self, stop: CancellationToken) -> Result<(), Escalation> {
        let mut kills = self.kills;
        let mut running = Running::new(self.name, self.policy, self.children, stop.child_token());
        running.start_all();
        let result = loop {
            tokio::select! {
                () = stop.cancelled() => break Ok(()),
                Some(name) = kills.recv() => running.kill(name),
                exit = running.tasks.join_next_with_id() => match exit {
                    None => break Ok(()),
                    Some(exit) => if let Err(escalation) = running.ended(exit) {
                        break Err(escalation);
                    },
                },
            }
        };
        running.end_all().await;
        result
    }
}

/// Children of a supervisor that runs.
struct Running {
    name: &'static str,
    policy: Policy,
    children: Vec<Child>,
    histories: Vec<History>,
    tasks: JoinSet<Result<(), ChildError>>,
    by_task: HashMap<Id, (usize, AbortHandle)>,
    stop: CancellationToken,
}

type Exit = Result<(Id, Result<(), ChildError>), JoinError>;

impl Running {
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

    /// Decides what follows the end of a child.
    fn ended(&mut self, exit: Exit) -> Result<(), Escalation> {
        let (id, failure) = match exit {
            Ok((id, Ok(()))) => (id, None),
            Ok((id, Err(error))) => (id, Some(error.to_string())),
            Err(error) => (error.id(), Some(error.to_string())),
        };
        let Some((index, _)) = self.by_task.remove(&id) else {
            return Ok(());
        };
        let child = &self.children[index];
        log_end(self.name, child.name, failure.as_deref());
        let again = match child.restart {
            Restart::Permanent => true,
            Restart::Transient => failure.is_some(),
            Restart::Temporary => false,
        };
        if again {
            self.restart(index, failure)
        } else {
            Ok(())
        }
    }

    fn restart(&mut self, index: usize, failure: Option<String>) -> Result<(), Escalation> {
        let recent = self.histories[index].record(Instant::now(), self.policy.window);
        if recent >= self.policy.restarts {
            let cause = failure.unwrap_or_else(|| "ended although it should run".to_owned());
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

    /// Asks every child to end, and aborts those that don't within the grace time.
    async fn end_all(&mut self) {
        self.stop.cancel();
        let all = async { while self.tasks.join_next().await.is_some() {} };
        if timeout(self.policy.grace, all).await.is_err() {
            log::warn!(event = "children_aborted", supervisor = self.name; "grace time passed");
            self.tasks.shutdown().await;
        }
    }
}

fn log_end(supervisor: &str, child: &str, failure: Option<&str>) {
    match failure {
        Some(cause) => {
            log::error!(event = "child_failed", supervisor, child, cause; "child failed");
        }
        None => {
            log::info!(event = "child_ended", supervisor, child; "child ended");
        }
    }
}
