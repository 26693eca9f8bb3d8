//! A test fixture for an agent beside a worker.

use std::time::Duration;

use agate_agent::Agent;
use agate_core::{Host, RunId};
use agate_wire::message::{
    RunAction, RunActionReply, RunActionRequest, RunReport, StartReply, StartRun,
};
use agate_wire::rpc::AgentRpcClient;
use jsonrpsee::ws_client::WsClient;
use standin_worker::{RanTask, TaskStatus};

use super::{AgentOptions, EntryState, FakeEntry, connect_agent, quick_config, start_request_to};

/// Payload of a task that runs longer than any test.
pub const LONG_TASK: &str = r#"{"duration_ms": 600000}"#;

/// Payload of a task that finishes almost at once.
pub const SHORT_TASK: &str = r#"{"duration_ms": 20}"#;

/// Returns whether a start was refused.
pub fn is_refused(reply: &StartReply) -> bool {
    matches!(reply, StartReply::Refused { .. })
}

/// An agent beside a worker, with a lease from one fake entry.
pub struct WorkerFixture {
    pub entry: FakeEntry,
    pub worker: standin_worker::Handle,
    pub agent: Agent,
    pub client: WsClient,
}

impl WorkerFixture {
    pub async fn set_up() -> Self {
        Self::set_up_with(|_| {}).await
    }

    /// Starts the agent after `prepare` has modified the entry's state.
    pub async fn set_up_with(prepare: fn(&mut EntryState)) -> Self {
        let lag = Duration::from_millis(50);
        let config = standin_worker::Config::builder().lag(lag).build();
        let worker = standin_worker::serve(&config).expect("loopback has free ports");
        let entry = FakeEntry::start().await;
        entry.state().config = Some(quick_config(1));
        prepare(&mut entry.state());
        let mut options = AgentOptions::backend(worker.address());
        options.host = Host::Worker;
        options.seeds = vec![entry.info.address];
        let agent = options.start();
        entry
            .wait_until("two heartbeats", |state| state.heartbeats.len() >= 2)
            .await;
        let client = connect_agent(agent.address()).await;
        Self {
            entry,
            worker,
            agent,
            client,
        }
    }

    /// Returns a request to start run `epoch` of task `index`; see [`start_request_to`].
    pub fn start_request(&self, index: u32, epoch: u32, payload: &str) -> StartRun {
        let mut run = start_request_to(self.agent.incarnation(), index, payload);
        run.run.epoch = epoch;
        run.bound.index = epoch;
        run
    }

    pub async fn start(&self, run: StartRun) -> StartReply {
        self.client.start(run).await.expect("a reply")
    }

    /// Returns the state of `run` on the worker, if it was started there.
    pub fn task_status(&self, run: &StartRun) -> Option<TaskStatus> {
        self.task(run.run).map(|task| task.status)
    }

    pub async fn send_action(&self, run: RunId, kind: RunAction) -> RunActionReply {
        let request = RunActionRequest {
            run,
            incarnation: self.agent.incarnation(),
            kind,
        };
        self.client.stop(request).await.expect("a reply")
    }

    /// Waits for the entry to receive a report of `run`.
    pub async fn wait_for_report(&self, run: RunId) -> RunReport {
        let of_run = |state: &EntryState| state.reports.iter().any(|report| report.run == run);
        self.entry.wait_until("a report", of_run).await;
        let state = self.entry.state();
        let mut reports = state.reports.iter();
        reports
            .find(|report| report.run == run)
            .cloned()
            .expect("a report was seen")
    }

    /// Returns the worker's record of `run`, if it was started there.
    pub fn task(&self, run: RunId) -> Option<RanTask> {
        let ran = self.worker.ran();
        ran.tasks
            .into_iter()
            .find(|task| task.run == run.to_string())
    }
}
