//! Injection of faults.

use std::net::SocketAddr;
use std::time::Duration;

use agate_core::JobId;
use rand::Rng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use tokio::time::sleep;

use super::batch::AcceptedJobs;
use super::directory::{Directory, EntryAddress};
use super::drive::DriveError;
use super::fault::Fault;
use super::operators::call_operator;
use crate::client::{Call, Method, call};
use crate::process::{Child, Signal};
use crate::site::Cluster;

/// Longest time that a graceful shutdown may take.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);

/// Number of jobs cancelled at once.
const WAVE_JOBS: usize = 5;

/// Injects faults into a cluster and heals them.
pub(crate) struct Injector<'a> {
    /// Cluster under test.
    pub(crate) cluster: &'a mut Cluster,
    /// Addresses of the entries that callers use.
    pub(crate) directory: Directory,
    /// Jobs that can be cancelled.
    pub(crate) accepted: AcceptedJobs,
    /// Graceful shutdowns that did not exit with 0.
    pub(crate) failed_stops: Vec<String>,
}

impl Injector<'_> {
    /// Injects one fault for `time`, then heals it.
    pub(crate) async fn inject(
        &mut self,
        fault: Fault,
        time: Duration,
        rng: &mut StdRng,
    ) -> Result<(), DriveError> {
        log::info!(event = "fault", fault:% = fault; "");
        if let Some(standin_fault) = self.standin_fault(fault, time, rng) {
            return standin_fault.await;
        }
        match fault {
            Fault::KillEntry => self.replace_entry(Signal::Kill, rng).await?,
            Fault::StopEntry => self.replace_entry(Signal::Terminate, rng).await?,
            Fault::KillBackendAgent => self.replace_backend_agent(Signal::Kill, rng).await?,
            Fault::StopBackendAgent => self.replace_backend_agent(Signal::Terminate, rng).await?,
            Fault::KillWorkerAgent => self.replace_worker_agent(Signal::Kill, rng).await?,
            Fault::StopWorkerAgent => self.replace_worker_agent(Signal::Terminate, rng).await?,
            Fault::FreezeEntry => {
                freeze(&self.cluster.entries[self.pick_entry(rng)].process, time).await;
            }
            Fault::FreezeBackendAgent => {
                freeze(&self.cluster.backends[self.pick_backend(rng)].agent, time).await;
            }
            Fault::FreezeWorkerAgent => {
                freeze(&self.cluster.workers[self.pick_worker(rng)].agent, time * 2).await;
            }
            Fault::CancelWave => self.cancel_wave(rng).await,
            Fault::WithdrawClass => self.withdraw_class(time, rng).await,
            _ => self.inject_connection_fault(fault, time, rng).await,
        }
        Ok(())
    }

    /// Returns a future that injects a stand-in fault for `time` and heals it, so that it can
    /// overlap with another fault; `None` for other kinds of faults.
    pub(crate) fn standin_fault(
        &self,
        fault: Fault,
        time: Duration,
        rng: &mut StdRng,
    ) -> Option<impl Future<Output = Result<(), DriveError>> + Send + 'static> {
        let log = self.cluster.log_address;
        let backend = self.cluster.backends[self.pick_backend(rng)].address;
        let worker = self.cluster.workers[self.pick_worker(rng)].address;
        let (to, path, on) = match fault {
            Fault::LogOutage => (log, "/v1/faults", json!({"outage": true})),
            Fault::SlowLog => (log, "/v1/faults", json!({"slow_ms": 300})),
            Fault::LostAnswers => (log, "/v1/faults", json!({"lose_answers_percent": 50})),
            Fault::WrongAnswers => (backend, "/faults", json!({"fault": "wrong-request"})),
            Fault::CutAnswers => (backend, "/faults", json!({"fault": "cut"})),
            Fault::ClosedConnections => (backend, "/faults", json!({"fault": "close"})),
            Fault::SlowBackend => (backend, "/faults", json!({"fault": "slow", "percent": 500})),
            Fault::FailingWorker => (worker, "/faults", json!({"fault": "fail-everything"})),
            _ => return None,
        };
        let off = if to == log {
            json!({})
        } else {
            json!({"fault": "none"})
        };
        Some(async move {
            set_standin_fault(to, path, &on).await?;
            sleep(time).await;
            set_standin_fault(to, path, &off).await
        })
    }

    fn pick_entry(&self, rng: &mut StdRng) -> usize {
        rng.random_range(0..self.cluster.entries.len())
    }

    fn pick_backend(&self, rng: &mut StdRng) -> usize {
        rng.random_range(0..self.cluster.backends.len())
    }

    fn pick_worker(&self, rng: &mut StdRng) -> usize {
        rng.random_range(0..self.cluster.workers.len())
    }

    /// Updates the directory with the current entries.
    pub(crate) fn publish_directory(&self) {
        let address = |entry: &crate::site::EntryNode| EntryAddress {
            callers: entry.callers,
            operators: entry.operators,
        };
        self.directory
            .set(self.cluster.entries.iter().map(address).collect());
    }

    async fn replace_entry(&mut self, signal: Signal, rng: &mut StdRng) -> Result<(), DriveError> {
        let index = self.pick_entry(rng);
        let zone = self.cluster.entries[index].zone;
        let new = self.cluster.start_entry(zone)?;
        let mut old = std::mem::replace(&mut self.cluster.entries[index], new);
        self.publish_directory();
        self.stop(&mut old.process, signal).await
    }

    async fn replace_backend_agent(
        &mut self,
        signal: Signal,
        rng: &mut StdRng,
    ) -> Result<(), DriveError> {
        let index = self.pick_backend(rng);
        let (zone, local) = (
            self.cluster.backends[index].zone,
            self.cluster.backends[index].address,
        );
        let (agent, relay) = self.cluster.start_backend_agent(zone, local)?;
        let node = &mut self.cluster.backends[index];
        let mut old = std::mem::replace(&mut node.agent, agent);
        let _old_relay = std::mem::replace(&mut node.relay, relay);
        self.stop(&mut old, signal).await
    }

    async fn replace_worker_agent(
        &mut self,
        signal: Signal,
        rng: &mut StdRng,
    ) -> Result<(), DriveError> {
        let index = self.pick_worker(rng);
        let node = &mut self.cluster.workers[index];
        node.agent.signal(signal);
        let end = node.agent.wait(STOP_TIMEOUT).await;
        self.record_stop(signal, end.map(|status| status.code()));
        let (zone, local) = (
            self.cluster.workers[index].zone,
            self.cluster.workers[index].address,
        );
        let (agent, relay) = self.cluster.start_worker_agent(zone, local)?;
        let node = &mut self.cluster.workers[index];
        (node.agent, node.relay) = (agent, relay);
        Ok(())
    }

    async fn stop(&mut self, process: &mut Child, signal: Signal) -> Result<(), DriveError> {
        process.signal(signal);
        let end = process.wait(STOP_TIMEOUT).await;
        self.record_stop(signal, end.map(|status| status.code()));
        Ok(())
    }

    fn record_stop<E: std::fmt::Display>(&mut self, signal: Signal, end: Result<Option<i32>, E>) {
        if signal != Signal::Terminate {
            return;
        }
        match end {
            Ok(Some(0)) => {}
            Ok(code) => self.failed_stops.push(format!("exit {code:?}")),
            Err(error) => self.failed_stops.push(error.to_string()),
        }
    }

    async fn inject_connection_fault(&mut self, fault: Fault, time: Duration, rng: &mut StdRng) {
        let backend = self.pick_backend(rng);
        let worker = self.pick_worker(rng);
        let entry = self.pick_entry(rng);
        let relay = match fault {
            Fault::SilentEntry => self.cluster.entries[entry].relay.as_ref(),
            _ if rng.random_bool(0.5) => self.cluster.backends[backend].relay.as_ref(),
            _ => self.cluster.workers[worker].relay.as_ref(),
        };
        let Some(relay) = relay else { return };
        if fault == Fault::CutAgent {
            relay.cut();
        } else {
            relay.silence();
        }
        sleep(time).await;
        relay.heal();
    }

    async fn cancel_wave(&mut self, rng: &mut StdRng) {
        let jobs = self.accepted.all();
        let wave: Vec<JobId> = jobs.into_iter().rev().take(WAVE_JOBS).collect();
        let calls = wave.into_iter().map(|job| {
            let to = self.directory.pick(rng).callers;
            tokio::spawn(call(
                Call::builder()
                    .to(to)
                    .method(Method::Delete)
                    .path(format!("/v1/jobs/{job}"))
                    .build(),
            ))
        });
        for call in calls.collect::<Vec<_>>() {
            // A cancellation may fail because of a fault; the job then continues.
            let _ = call.await;
        }
    }

    async fn withdraw_class(&mut self, time: Duration, rng: &mut StdRng) {
        let class = if rng.random_bool(0.5) {
            "rebalance"
        } else {
            "rerating"
        };
        let body = json!({"class": class, "mode": "checkpoint"});
        let _ = call_operator(
            self.directory.pick(rng),
            Method::Post,
            "/v1/withdrawals",
            &body,
        )
        .await;
        sleep(time).await;
        self.resume(class, rng).await;
    }

    /// Resumes a class, retrying until an entry responds that it is not withdrawn.
    pub(crate) async fn resume(&self, class: &str, rng: &mut StdRng) {
        const MAX_ATTEMPTS: usize = 40;
        const RETRY_DELAY: Duration = Duration::from_millis(250);
        let body = json!({"class": class});
        for _ in 0..MAX_ATTEMPTS {
            let reply = call_operator(
                self.directory.pick(rng),
                Method::Delete,
                "/v1/withdrawals",
                &body,
            );
            if reply
                .await
                .is_ok_and(|reply| reply.status == http::StatusCode::NOT_FOUND)
            {
                return;
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

async fn freeze(process: &Child, time: Duration) {
    process.signal(Signal::Freeze);
    sleep(time).await;
    process.signal(Signal::Thaw);
}

async fn set_standin_fault(to: SocketAddr, path: &str, body: &Value) -> Result<(), DriveError> {
    let headers = vec![("content-type", "application/json".to_owned())];
    let request = Call::builder()
        .to(to)
        .method(Method::Post)
        .path(path)
        .headers(headers)
        .body(body.to_string())
        .build();
    let reply = call(request).await?;
    if reply.status.is_success() {
        return Ok(());
    }
    Err(DriveError(format!(
        "{to}{path} returned {}: {}",
        reply.status,
        reply.text()
    )))
}
