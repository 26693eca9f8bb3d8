//! Presets and withdrawals.

use serde::Deserialize;
use serde_json::{Value, json};

use crate::client::Method;
use crate::site::Frame;

/// The preset in force as an entry tells it.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
pub struct InForce {
    /// Its name; none before the first switch.
    pub name: Option<String>,
    /// The version of its switch.
    pub version: String,
}

/// Publishes a preset; answers whether it was taken.
pub async fn publish(frame: &Frame, entry: usize, name: &str, preset: &Value) -> bool {
    let body = json!({"name": name, "preset": preset});
    accepted(frame, entry, Method::Post, "/v1/presets", &body).await
}

/// Asks an entry for the preset in force.
pub async fn in_force(frame: &Frame, entry: usize) -> Option<InForce> {
    frame
        .operate(entry, Method::Get, "/v1/presets/in-force", &Value::Null)
        .await
        .ok()?
        .json()
}

/// Switches to a preset if `expected` is in force; answers whether it counted.
pub async fn switch(frame: &Frame, entry: usize, name: &str, expected: &str) -> bool {
    let body = json!({"name": name, "expected": expected});
    accepted(frame, entry, Method::Post, "/v1/presets/switch", &body).await
}

/// Withdraws a class; running work is checkpointed.
pub async fn withdraw(frame: &Frame, entry: usize, class: &str) -> bool {
    let body = json!({"class": class, "mode": "checkpoint"});
    accepted(frame, entry, Method::Post, "/v1/withdrawals", &body).await
}

/// Resumes a class.
pub async fn resume(frame: &Frame, entry: usize, class: &str) -> bool {
    accepted(
        frame,
        entry,
        Method::Delete,
        "/v1/withdrawals",
        &json!({"class": class}),
    )
    .await
}

async fn accepted(frame: &Frame, entry: usize, method: Method, path: &str, body: &Value) -> bool {
    frame
        .operate(entry, method, path, body)
        .await
        .is_ok_and(|reply| reply.status.is_success())
}
