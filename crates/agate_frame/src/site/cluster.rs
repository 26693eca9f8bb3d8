//! Starts a cluster, waits until it is ready and calls its operator listeners.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use displaydoc::Display;
use serde_json::Value;

use super::{BackendNode, EntryNode, Layout, WorkerNode, wait_until};
use crate::client::{Call, CallError, Method, Reply, call};
use crate::process::{Child, ChildError, Ports};

/// Token that the entries of a cluster accept from operators.
pub const OPERATOR_TOKEN: &str = "frame-operator-token";

/// Longest wait for the cluster to be ready.
const READY_TIMEOUT: Duration = Duration::from_secs(30);

/// Append rate limit of the log.
const APPENDS_PER_S: u32 = 400;

/// failed to start the cluster: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct ClusterError(pub String);

impl std::error::Error for ClusterError {}

impl From<ChildError> for ClusterError {
    fn from(error: ChildError) -> Self {
        Self(error.to_string())
    }
}

impl From<std::io::Error> for ClusterError {
    fn from(error: std::io::Error) -> Self {
        Self(error.to_string())
    }
}

/// A running cluster. Dropping it kills its processes.
#[derive(Debug)]
pub struct Cluster {
    /// Number and placement of the processes.
    pub layout: Layout,
    pub(super) logs: PathBuf,
    pub(super) launched: u32,
    pub(super) ports: Ports,
    /// Stand-in for the log.
    pub log: Child,
    /// Address that the log listens on.
    pub log_address: SocketAddr,
    /// Entries.
    pub entries: Vec<EntryNode>,
    /// Backend servers and their agents.
    pub backends: Vec<BackendNode>,
    /// Workers and their agents.
    pub workers: Vec<WorkerNode>,
}

impl Cluster {
    /// Starts every process and waits until each entry sees every agent.
    ///
    /// # Errors
    ///
    /// Fails if a process can't be started or the entries don't see every agent in time.
    pub async fn start(layout: Layout, logs: &Path) -> Result<Self, ClusterError> {
        std::fs::create_dir_all(logs)?;
        let mut ports = Ports::new();
        let log_address = ports.free()?;
        let log = start_log(log_address, layout.retention_s, logs)?;
        let mut cluster = Self {
            layout,
            logs: logs.to_owned(),
            launched: 0,
            ports,
            log,
            log_address,
            entries: Vec::new(),
            backends: Vec::new(),
            workers: Vec::new(),
        };
        cluster.start_entries()?;
        cluster.start_backends()?;
        cluster.start_workers()?;
        cluster.wait_ready().await?;
        Ok(cluster)
    }

    fn start_entries(&mut self) -> Result<(), ClusterError> {
        for (index, zone) in self.layout.zones.clone().into_iter().enumerate() {
            for _ in 0..zone.entries {
                let entry = self.start_entry(index)?;
                self.entries.push(entry);
            }
        }
        Ok(())
    }

    fn start_backends(&mut self) -> Result<(), ClusterError> {
        for (index, zone) in self.layout.zones.clone().into_iter().enumerate() {
            for _ in 0..zone.backends {
                let node = self.start_backend(index)?;
                self.backends.push(node);
            }
        }
        Ok(())
    }

    fn start_workers(&mut self) -> Result<(), ClusterError> {
        for (index, zone) in self.layout.zones.clone().into_iter().enumerate() {
            for _ in 0..zone.workers {
                let node = self.start_worker(index)?;
                self.workers.push(node);
            }
        }
        Ok(())
    }

    /// Waits until each entry sees every agent.
    ///
    /// # Errors
    ///
    /// Fails on timeout.
    pub async fn wait_ready(&self) -> Result<(), ClusterError> {
        let agents = self.backends.len() + self.workers.len();
        let ready = wait_until(READY_TIMEOUT, async || {
            for entry in &self.entries {
                if count_members(entry).await != agents {
                    return false;
                }
            }
            true
        });
        if ready.await {
            Ok(())
        } else {
            Err(ClusterError("the entries don't see every agent".to_owned()))
        }
    }

    /// Sends a request to the operator listener of an entry.
    ///
    /// # Errors
    ///
    /// Fails if no complete response arrives in time.
    pub async fn call_operator(
        &self,
        entry: usize,
        method: Method,
        path: &str,
        body: &Value,
    ) -> Result<Reply, CallError> {
        call_operator(&self.entries[entry], method, path, body).await
    }
}

async fn call_operator(
    entry: &EntryNode,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Reply, CallError> {
    let headers = vec![
        ("authorization", format!("Bearer {OPERATOR_TOKEN}")),
        ("content-type", "application/json".to_owned()),
    ];
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    call(
        Call::builder()
            .to(entry.operators)
            .method(method)
            .path(path)
            .headers(headers)
            .body(body)
            .build(),
    )
    .await
}

async fn count_members(entry: &EntryNode) -> usize {
    let Ok(reply) = call_operator(entry, Method::Get, "/v1/members", &Value::Null).await else {
        return 0;
    };
    let view: Value = reply.json().unwrap_or_default();
    view["members"].as_array().map_or(0, Vec::len)
}

fn start_log(address: SocketAddr, retention_s: u32, logs: &Path) -> Result<Child, ClusterError> {
    let args = [
        format!("--listen={address}"),
        format!("--retention-s={retention_s}"),
        format!("--appends-per-s={APPENDS_PER_S}"),
    ];
    Ok(Child::start("log", "standin-log", &args, logs)?)
}
