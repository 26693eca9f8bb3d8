//! Presets and withdrawals.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::Method;
use crate::site::Cluster;

/// The preset in force as an entry tells it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct InForce {
    /// Its name; none before the first switch.
    pub name: Option<String>,
    /// The version of its switch.
    pub version: String,
}

/// Publishes a preset; answers whether it was taken.
pub async fn publish(cluster: &Cluster, entry: usize, name: &str, preset: &Value) -> bool {
    let body = json!({"name": name, "preset": preset});
    accepted(cluster, entry, Method::Post, "/v1/presets", &body).await
}

/// Asks an entry for the preset in force.
pub async fn in_force(cluster: &Cluster, entry: usize) -> Option<InForce> {
    cluster
        .call_operator(entry, Method::Get, "/v1/presets/in-force", &Value::Null)
        .await
        .ok()?
        .json()
}

/// Switches to a preset if `expected` is in force; answers whether it counted.
pub async fn switch(cluster: &Cluster, entry: usize, name: &str, expected: &str) -> bool {
    let body = json!({"name": name, "expected": expected});
    accepted(cluster, entry, Method::Post, "/v1/presets/switch", &body).await
}

/// Withdraws a class; running work is checkpointed.
pub async fn withdraw(cluster: &Cluster, entry: usize, class: &str) -> bool {
    let body = json!({"class": class, "mode": "checkpoint"});
    accepted(cluster, entry, Method::Post, "/v1/withdrawals", &body).await
}

/// Resumes a class.
pub async fn resume(cluster: &Cluster, entry: usize, class: &str) -> bool {
    accepted(
        cluster,
        entry,
        Method::Delete,
        "/v1/withdrawals",
        &json!({"class": class}),
    )
    .await
}

async fn accepted(
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
