//! An agent beside a worker.

use std::time::Duration;

use agate_agent::Agent;
use agate_core::{Host, RunId};
use agate_wire::message::{
    RunAction, RunActionReply, RunActionRequest, RunReport, StartReply, StartRun,
};
use agate_wire::rpc::AgentRpcClient;
use jsonrpsee::ws_client::WsClient;
use standin_worker::{RanTask, TaskStatus};

use super::{Choice, EntryState, FakeEntry, dial, quick_config, run_to};

/// A task that outlasts every test.
pub const LONG: &str = r#"{"duration_ms": 600000}"#;

/// A task that is over at once.
pub const SHORT: &str = r#"{"duration_ms": 20}"#;

/// Whether a start was refused.
pub fn is_refused(reply: &StartReply) -> bool {
    matches!(reply, StartReply::Refused { .. })
}

/// An agent beside a worker, known to one entry and under a lease.
pub struct OnWorker {
    pub entry: FakeEntry,
    pub worker: standin_worker::Handle,
    pub agent: Agent,
    pub client: WsClient,
}

impl OnWorker {
    pub async fn set_up() -> Self {
        Self::set_up_with(|_| {}).await
    }

    /// Starts with an entry that `prepare` has changed first.
    pub async fn set_up_with(prepare: fn(&mut EntryState)) -> Self {
        let lag = Duration::from_millis(50);
        let config = standin_worker::Config::builder().lag(lag).build();
        let worker = standin_worker::serve(&config).expect("loopback has free ports");
        let entry = FakeEntry::start().await;
        entry.state().config = Some(quick_config(1));
        prepare(&mut entry.state());
        let mut choice = Choice::backend(worker.address());
        choice.host = Host::Worker;
        choice.seeds = vec![entry.info.address];
        let agent = choice.start();
        entry
            .until("two heartbeats", |state| state.heartbeats.len() >= 2)
            .await;
        let client = dial(agent.address()).await;
        Self {
            entry,
            worker,
            agent,
            client,
        }
    }

    /// A request to start run `epoch` of task `index`; see [`run_to`].
    pub fn run(&self, index: u32, epoch: u32, payload: &str) -> StartRun {
        let mut run = run_to(self.agent.incarnation(), index, payload);
        run.run.epoch = epoch;
        run.bound.index = epoch;
        run
    }

    pub async fn start(&self, run: StartRun) -> StartReply {
        self.client.start(run).await.expect("a reply")
    }

    /// The worker's state of `run`, if it was started there.
    pub fn status(&self, run: &StartRun) -> Option<TaskStatus> {
        self.task(run.run).map(|task| task.status)
    }

    pub async fn take_step(&self, run: RunId, kind: RunAction) -> RunActionReply {
        let request = RunActionRequest {
            run,
            incarnation: self.agent.incarnation(),
            kind,
        };
        self.client.stop(request).await.expect("a reply")
    }

    /// Waits for a report of `run`.
    pub async fn report(&self, run: RunId) -> RunReport {
        let of_run = |state: &EntryState| state.reports.iter().any(|report| report.run == run);
        self.entry.until("a report", of_run).await;
        let state = self.entry.state();
        let mut reports = state.reports.iter();
        reports
            .find(|report| report.run == run)
            .cloned()
            .expect("a report was seen")
    }

    /// The worker's record of `run`, if it was started there.
    pub fn task(&self, run: RunId) -> Option<RanTask> {
        let ran = self.worker.ran();
        ran.tasks
            .into_iter()
            .find(|task| task.run == run.to_string())
    }
}
