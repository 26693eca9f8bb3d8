//! Gathering of the records.

use std::net::SocketAddr;

use serde::de::DeserializeOwned;

use crate::client::{Call, CallError, call};
use crate::site::Frame;

/// Records of every backend server and worker.
#[derive(Debug, Clone, Default)]
pub struct Truth {
    /// What each backend server ran.
    pub backends: Vec<standin_backend::Ran>,
    /// What each worker ran.
    pub workers: Vec<standin_worker::Ran>,
}

/// Asks every backend server and worker of the frame.
///
/// # Errors
///
/// Fails if one does not answer.
pub async fn gather(frame: &Frame) -> Result<Truth, CallError> {
    let mut truth = Truth::default();
    for node in &frame.backends {
        truth.backends.push(ran(node.address).await?);
    }
    for node in &frame.workers {
        truth.workers.push(ran(node.address).await?);
    }
    Ok(truth)
}

async fn ran<T: DeserializeOwned>(address: SocketAddr) -> Result<T, CallError> {
    let reply = call(Call::builder().to(address).path("/ran").build()).await?;
    reply.json().ok_or_else(|| CallError {
        to: address,
        cause: "the record is not readable".to_owned(),
    })
}
