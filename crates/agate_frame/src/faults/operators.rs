//! Operators that race one another, and an observer of the preset in force.

use std::time::Duration;

use agate_core::{Offset, Position};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::directory::{Directory, EntryAddress};
use crate::client::{Call, CallError, Method, Reply, call};
use crate::site::OPERATOR_TOKEN;

/// Pause between two switches of one operator.
const PAUSE: Duration = Duration::from_millis(900);

/// Pause between two looks of the observer.
const LOOK: Duration = Duration::from_millis(200);

/// Makes a call on an operator listener.
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

/// The version and name of the preset in force in an entry.
pub(crate) async fn in_force(to: EntryAddress) -> Option<(Position, String)> {
    let view: Value = call_operator(to, Method::Get, "/v1/presets/in-force", &Value::Null)
        .await
        .ok()?
        .json()?;
    let (offset, index) = view["version"].as_str()?.split_once('+')?;
    let version = Position::new(Offset(offset.parse().ok()?), index.parse().ok()?);
    Some((version, view["name"].as_str()?.to_owned()))
}

/// The switches that counted, as an entry tells them.
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

/// Switches between two presets until `stop`; returns how often a switch counted.
pub(crate) async fn operator(
    seed: u64,
    directory: Directory,
    mut stop: watch::Receiver<bool>,
) -> usize {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut counted = 0;
    while !*stop.borrow() {
        let entry = directory.any(&mut rng);
        if let Some((version, name)) = in_force(entry).await {
            let next = if name == "ordinary-day" {
                "peak-day"
            } else {
                "ordinary-day"
            };
            let body = json!({"name": next, "expected": version.to_string()});
            let reply = call_operator(
                directory.any(&mut rng),
                Method::Post,
                "/v1/presets/switch",
                &body,
            )
            .await;
            counted += usize::from(reply.is_ok_and(|reply| reply.status.is_success()));
        }
        let pause = PAUSE.mul_f64(rng.random_range(0.5..1.5));
        let _ = tokio::time::timeout(pause, stop.changed()).await;
    }
    counted
}

/// Watches each entry until `stop`; returns every step backwards that it saw.
pub(crate) async fn observer(
    directory: Directory,
    mut stop: watch::Receiver<bool>,
) -> (usize, Vec<String>) {
    let mut highest: Vec<(EntryAddress, Position)> = Vec::new();
    let (mut looks, mut reverts) = (0, Vec::new());
    while !*stop.borrow() {
        for entry in directory.all() {
            let Some((version, _)) = in_force(entry).await else {
                continue;
            };
            looks += 1;
            match highest.iter_mut().find(|(known, _)| *known == entry) {
                Some((_, top)) if version < *top => {
                    reverts.push(format!("{version} after {top}"));
                }
                Some((_, top)) => *top = version,
                None => highest.push((entry, version)),
            }
        }
        let _ = tokio::time::timeout(LOOK, stop.changed()).await;
    }
    (looks, reverts)
}
