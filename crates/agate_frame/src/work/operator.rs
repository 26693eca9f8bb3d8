//! Presets and withdrawals.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::Method;
use crate::site::Cluster;

/// The preset in force as reported by an entry.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct InForce {
    /// Name of the preset; `None` before the first switch.
    pub name: Option<String>,
    /// Version of the switch to it.
    pub version: String,
}

/// Publishes a preset. Returns whether it was accepted.
pub async fn publish(cluster: &Cluster, entry: usize, name: &str, preset: &Value) -> bool {
    let body = json!({"name": name, "preset": preset});
    send_operation(cluster, entry, Method::Post, "/v1/presets", &body).await
}

/// Returns the preset in force in an entry.
pub async fn in_force(cluster: &Cluster, entry: usize) -> Option<InForce> {
    cluster
        .call_operator(entry, Method::Get, "/v1/presets/in-force", &Value::Null)
        .await
        .ok()?
        .json()
}

/// Switches to a preset if version `expected` is in force. Returns whether the switch was accepted.
pub async fn switch(cluster: &Cluster, entry: usize, name: &str, expected: &str) -> bool {
    let body = json!({"name": name, "expected": expected});
    send_operation(cluster, entry, Method::Post, "/v1/presets/switch", &body).await
}

/// Withdraws a class, checkpointing running work. Returns whether the withdrawal was accepted.
pub async fn withdraw(cluster: &Cluster, entry: usize, class: &str) -> bool {
    let body = json!({"class": class, "mode": "checkpoint"});
    send_operation(cluster, entry, Method::Post, "/v1/withdrawals", &body).await
}

/// Resumes a class. Returns whether that was accepted.
pub async fn resume(cluster: &Cluster, entry: usize, class: &str) -> bool {
    send_operation(
        cluster,
        entry,
        Method::Delete,
        "/v1/withdrawals",
        &json!({"class": class}),
    )
    .await
}

async fn send_operation(
    cluster: &Cluster,
    entry: usize,
    method: Method,
    path: &str,
    body: &Value,
) -> bool {
    cluster
        .call_operator(entry, method, path, body)
        .await
        .is_ok_and(|reply| reply.status.is_success())
}
