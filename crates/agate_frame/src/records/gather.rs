//! Gathering of the records.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use crate::client::{Call, CallError, call};
use crate::site::Cluster;

/// Records of every backend server and worker.
#[derive(Debug, Clone, Default)]
pub struct RunRecords {
    /// What each backend server ran.
    pub backends: Vec<standin_backend::BackendRecord>,
    /// What each worker ran.
    pub workers: Vec<standin_worker::WorkerRecord>,
}

/// Asks every backend server and worker of the frame.
///
/// # Errors
///
/// Fails if one does not answer.
pub async fn gather_records(cluster: &Cluster) -> Result<RunRecords, CallError> {
    let mut records = RunRecords::default();
    for node in &cluster.backends {
        records.backends.push(ran(node.address).await?);
    }
    for node in &cluster.workers {
        records.workers.push(ran(node.address).await?);
    }
    Ok(records)
}

async fn ran<T: DeserializeOwned>(address: SocketAddr) -> Result<T, CallError> {
    let reply = call(Call::builder().to(address).path("/ran").build()).await?;
    reply.json().ok_or_else(|| CallError {
        to: address,
        cause: "the record is not readable".to_owned(),
    })
}
