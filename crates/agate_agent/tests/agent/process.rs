//! The agent as a process: signals, freezes, crashes and settings.

use std::net::SocketAddr;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::Arc;
use std::time::Duration;

use agate_core::Incarnation;
use agate_wire::message::{MemberInfo, Refusal, ServeRequest, ServeResult, StartReply};
use agate_wire::rpc::AgentRpcClient;
use rustix::process::{Pid, Signal, kill_process};
use standin_backend::Fault;
use standin_worker::TaskStatus;

use crate::support::{
    FakeEntry, backend, connect_agent, quick_config, request_to, start_request_to, wait_until,
};

/// A process that is killed when the test ends.
pub struct Process(Child);

impl Process {
    fn start(host: &str, local: SocketAddr, entry: &FakeEntry) -> Self {
        Self::start_with(host, local, entry, |_| {})
    }

    /// Starts the agent after `prepare` has modified its command.
    pub fn start_with(
        host: &str,
        local: SocketAddr,
        entry: &FakeEntry,
        prepare: impl FnOnce(&mut Command),
    ) -> Self {
        let mut command = Command::new(env!("CARGO_BIN_EXE_agate-agent"));
        command
            .args(["--listen", "127.0.0.1:0", "--region", "khomas"])
            .args(["--zone", "windhoek-1", "--host", host, "--slots", "1"])
            .args(["--millicores", "4000", "--memory", "4096"])
            .args(["--local", &local.to_string()])
            .args(["--seeds", &entry.info.address.to_string()])
            .stderr(Stdio::null());
        prepare(&mut command);
        Self(
            command
                .spawn()
                .expect("the binary was built with the tests"),
        )
    }

    /// Takes the process's standard error, which must be piped.
    pub fn take_stderr(&mut self) -> ChildStderr {
        self.0.stderr.take().expect("standard error is piped")
    }

    pub fn signal(&self, signal: Signal) {
        let id = i32::try_from(self.0.id()).expect("process ids are small");
        let pid = Pid::from_raw(id).expect("a running process has an id");
        kill_process(pid, signal).expect("the process runs");
    }

    /// Sends SIGSTOP and waits until every thread of the process has stopped.
    async fn freeze(&self) {
        self.signal(Signal::STOP);
        let threads = format!("/proc/{}/task", self.0.id());
        let stopped = || {
            let threads = std::fs::read_dir(&threads).expect("the process runs");
            let mut states = threads.map(|thread| {
                let thread = thread.expect("a thread is listed").path();
                std::fs::read_to_string(thread.join("stat")).unwrap_or_default()
            });
            // The state follows the process name, which ends at the last parenthesis.
            states.all(|stat| {
                stat.rsplit(')')
                    .next()
                    .is_some_and(|rest| rest.starts_with(" T"))
            })
        };
        wait_until("every thread has stopped", stopped).await;
    }

    pub async fn wait_for_exit(mut self) -> ExitStatus {
        let ended = async {
            loop {
                if let Some(status) = self.0.try_wait().expect("a child can be waited for") {
                    return status;
                }
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        let ended = tokio::time::timeout(crate::support::TEST_TIMEOUT, ended).await;
        ended.expect("the process ends")
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Killing fails if the process has already ended.
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

pub async fn quick_entry() -> FakeEntry {
    let entry = FakeEntry::start().await;
    entry.state().config = Some(quick_config(1));
    entry
}

/// Waits for the newest member that has sent a hello and a heartbeat, except `excluded`.
pub async fn newest_member(entry: &FakeEntry, excluded: Option<Incarnation>) -> MemberInfo {
    let newest = |state: &crate::support::EntryState| {
        let mut members = state.hellos.iter().filter_map(|hello| hello.member.clone());
        let beats = |member: &MemberInfo| {
            let mut beats = state.heartbeats.iter();
            beats.any(|beat| beat.incarnation == member.incarnation)
        };
        members.rfind(|member| Some(member.incarnation) != excluded && beats(member))
    };
    entry
        .wait_until("a member", |state| newest(state).is_some())
        .await;
    newest(&entry.state()).expect("a member was seen")
}

fn with_budget(mut request: ServeRequest, budget_ms: u64) -> ServeRequest {
    request.budget_ms = budget_ms;
    request
}

#[tokio::test]
async fn sigterm_answers_running_requests_and_exits_with_0() {
    let backend = backend(1, Duration::from_millis(500)).await;
    let entry = quick_entry().await;
    let process = Process::start("backend", backend.address(), &entry);
    let member = newest_member(&entry, None).await;
    let client = Arc::new(connect_agent(member.address).await);
    let running = tokio::spawn({
        let (client, request) = (Arc::clone(&client), request_to(member.incarnation, 1));
        async move { client.serve(request).await }
    });
    wait_until("a request that runs", || backend.ran().runs.len() == 1).await;
    process.signal(Signal::TERM);
    let reply = running.await.expect("no panic").expect("a reply");
    assert!(matches!(reply.result, ServeResult::Done(_)), "{reply:?}");
    assert_eq!(process.wait_for_exit().await.code(), Some(0));
}

#[tokio::test]
async fn second_sigterm_cuts_off_running_requests_and_exits_with_3() {
    let backend = backend(1, Duration::from_millis(10)).await;
    let entry = quick_entry().await;
    let process = Process::start("backend", backend.address(), &entry);
    let member = newest_member(&entry, None).await;
    let client = Arc::new(connect_agent(member.address).await);
    backend.set_fault(Fault::Silence);
    let running = tokio::spawn({
        let (client, request) = (Arc::clone(&client), request_to(member.incarnation, 1));
        async move { client.serve(request).await }
    });
    wait_until("a request that runs", || backend.ran().runs.len() == 1).await;
    process.signal(Signal::TERM);
    entry
        .wait_until("a leaving heartbeat", |state| {
            state.heartbeats.last().is_some_and(|beat| beat.leaving)
        })
        .await;
    process.signal(Signal::TERM);
    let reply = running.await.expect("no panic").expect("a reply");
    assert!(
        matches!(reply.result, ServeResult::Failed { .. }),
        "{reply:?}"
    );
    assert_eq!(process.wait_for_exit().await.code(), Some(3));
}

#[tokio::test]
async fn agent_frozen_past_a_deadline_refuses_the_request_when_it_resumes() {
    let backend = backend(1, Duration::from_millis(1)).await;
    let entry = quick_entry().await;
    let process = Process::start("backend", backend.address(), &entry);
    let member = newest_member(&entry, None).await;
    let client = Arc::new(connect_agent(member.address).await);
    process.freeze().await;
    // The message waits in the agent's socket, so its budget looks unused when the agent resumes.
    let frozen = tokio::spawn({
        let request = with_budget(request_to(member.incarnation, 1), 500);
        let client = Arc::clone(&client);
        async move { client.serve(request).await }
    });
    tokio::time::sleep(Duration::from_millis(2_500)).await;
    process.signal(Signal::CONT);
    let reply = frozen.await.expect("no panic").expect("a reply");
    let ServeResult::Refused { reason, .. } = reply.result else {
        panic!("expected a refusal, found {:?}", reply.result);
    };
    assert_eq!(reason, Refusal::Late);
    assert_eq!(backend.ran().runs.len(), 0);
    let served = async {
        loop {
            let request = request_to(member.incarnation, 2);
            let reply = client.serve(request).await.expect("a reply");
            if matches!(reply.result, ServeResult::Done(_)) {
                return;
            }
        }
    };
    let served = tokio::time::timeout(crate::support::TEST_TIMEOUT, served).await;
    assert!(served.is_ok(), "the agent serves again");
}

#[tokio::test]
async fn agent_restarted_after_a_crash_stops_old_tasks_before_it_announces_itself() {
    let config = standin_worker::Config::builder().build();
    let worker = standin_worker::serve(&config).expect("loopback has free ports");
    let entry = quick_entry().await;
    let first = Process::start("worker", worker.address(), &entry);
    let crashed = newest_member(&entry, None).await;
    let client = connect_agent(crashed.address).await;
    let run = start_request_to(crashed.incarnation, 0, r#"{"duration_ms": 600000}"#);
    let started = client.start(run).await.expect("a reply");
    assert_eq!(started, StartReply::Started);
    first.signal(Signal::KILL);
    assert!(!first.wait_for_exit().await.success());
    assert_eq!(worker.ran().tasks[0].status, TaskStatus::Running);

    let _second = Process::start("worker", worker.address(), &entry);
    let successor = newest_member(&entry, Some(crashed.incarnation)).await;
    assert_ne!(successor.incarnation, crashed.incarnation);
    assert_eq!(worker.ran().tasks[0].status, TaskStatus::Stopped);
}

#[test]
fn all_invalid_settings_are_reported() {
    let output = Command::new(env!("CARGO_BIN_EXE_agate-agent"))
        .args(["--listen", "0.0.0.0:0", "--region", "khomas"])
        .args([
            "--zone",
            "windhoek-1",
            "--host",
            "worker",
            "--local",
            "127.0.0.1:1",
        ])
        .args(["--seeds", "", "--memory", "64"])
        .output()
        .expect("the binary was built with the tests");
    assert_eq!(output.status.code(), Some(2));
    let text = String::from_utf8(output.stderr).expect("messages are text");
    insta::assert_snapshot!(text, @r"
    --advertise: entries can't reach a wildcard address; give the address of this machine
    --millicores: a worker needs processor time
    --seeds: expected at least one address
    ");
}
