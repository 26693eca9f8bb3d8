//! Concurrent operators that switch presets, and an observer of the preset in force.

use std::time::Duration;

use agate_core::{Offset, Position};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::directory::{Directory, EntryAddress};
use crate::client::{Call, CallError, Method, Reply, call};
use crate::site::OPERATOR_TOKEN;

/// Mean interval between two switches of one operator.
const SWITCH_INTERVAL: Duration = Duration::from_millis(900);

/// Interval between two polls of the observer.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Sends a request to the operator listener of an entry.
pub(crate) async fn call_operator(
    to: EntryAddress,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Reply, CallError> {
    let headers = vec![("authorization", format!("Bearer {OPERATOR_TOKEN}"))];
    let body = if body.is_null() {
        String::new()
    } else {
        body.to_string()
    };
    let request = Call::builder()
        .to(to.operators)
        .method(method)
        .path(path)
        .headers(headers)
        .body(body)
        .build();
    call(request).await
}

/// Returns the version and name of the preset in force in an entry.
pub(crate) async fn in_force(to: EntryAddress) -> Option<(Position, String)> {
    let view: Value = call_operator(to, Method::Get, "/v1/presets/in-force", &Value::Null)
        .await
        .ok()?
        .json()?;
    let (offset, index) = view["version"].as_str()?.split_once('+')?;
    let version = Position::new(Offset(offset.parse().ok()?), index.parse().ok()?);
    Some((version, view["name"].as_str()?.to_owned()))
}

/// Returns the history of accepted switches of an entry.
pub(crate) async fn history(to: EntryAddress) -> Option<Vec<String>> {
    let view: Value = call_operator(to, Method::Get, "/v1/presets/history", &Value::Null)
        .await
        .ok()?
        .json()?;
    let switches = view["switches"].as_array()?;
    Some(
        switches
            .iter()
            .map(|switch| format!("{} at {}", switch["name"], switch["version"]))
            .collect(),
    )
}

/// Switches between two presets until `stop` is set. Returns the number of accepted switches.
pub(crate) async fn switch_presets(
    seed: u64,
    directory: Directory,
    mut stop: watch::Receiver<bool>,
) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut accepted = 0;
    while !*stop.borrow() {
        let entry = directory.pick(&mut rng);
        if let Some((version, name)) = in_force(entry).await {
            let next = if name == "ordinary-day" {
                "peak-day"
            } else {
                "ordinary-day"
            };
            let body = json!({"name": next, "expected": version.to_string()});
            let reply = call_operator(
                directory.pick(&mut rng),
                Method::Post,
                "/v1/presets/switch",
                &body,
            )
            .await;
            accepted += usize::from(reply.is_ok_and(|reply| reply.status.is_success()));
        }
        let pause = SWITCH_INTERVAL.mul_f64(rng.random_range(0.5..1.5));
        let _ = tokio::time::timeout(pause, stop.changed()).await;
    }
    accepted
}

/// Polls the preset in force of each entry until `stop` is set. Returns the number of successful
/// polls and every version that was older than an earlier one of the same entry.
pub(crate) async fn watch_presets(
    directory: Directory,
    mut stop: watch::Receiver<bool>,
) -> (usize, Vec<String>) {
    let mut highest: Vec<(EntryAddress, Position)> = Vec::new();
    let (mut reads, mut reverts) = (0, Vec::new());
    while !*stop.borrow() {
        for entry in directory.all() {
            let Some((version, _)) = in_force(entry).await else {
                continue;
            };
            reads += 1;
            match highest.iter_mut().find(|(known, _)| *known == entry) {
                Some((_, top)) if version < *top => {
                    reverts.push(format!("{version} after {top}"));
                }
                Some((_, top)) => *top = version,
                None => highest.push((entry, version)),
            }
        }
        let _ = tokio::time::timeout(POLL_INTERVAL, stop.changed()).await;
    }
    (reads, reverts)
}
