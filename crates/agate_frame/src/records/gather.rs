//! Gathers the records of a cluster.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use crate::client::{Call, CallError, call};
use crate::site::Cluster;

/// Records of all backend servers and workers.
#[derive(Debug, Clone, Default)]
pub struct RunRecords {
    /// Record of each backend server.
    pub backends: Vec<standin_backend::BackendRecord>,
    /// Record of each worker.
    pub workers: Vec<standin_worker::WorkerRecord>,
}

/// Fetches the record of every backend server and worker of the cluster.
///
/// # Errors
///
/// Fails if one does not respond with a valid record.
pub async fn gather_records(cluster: &Cluster) -> Result<RunRecords, CallError> {
    let mut records = RunRecords::default();
    for node in &cluster.backends {
        records.backends.push(fetch_record(node.address).await?);
    }
    for node in &cluster.workers {
        records.workers.push(fetch_record(node.address).await?);
    }
    Ok(records)
}

async fn fetch_record<T: DeserializeOwned>(address: SocketAddr) -> Result<T, CallError> {
    let reply = call(Call::builder().to(address).path("/ran").build()).await?;
    reply.json().ok_or_else(|| CallError {
        to: address,
        cause: "invalid record".to_owned(),
    })
}
