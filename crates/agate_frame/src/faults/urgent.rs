//! Callers of urgent requests and the outcomes that they saw.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::directory::Directory;
use crate::client::{Call, Method, call};
use crate::work::{Binding, CallOutcome, UrgentRequest, new_key, send};

/// Interval between two requests of a caller.
const REQUEST_INTERVAL: Duration = Duration::from_millis(60);

/// Maximum number of attempts with one key or ticket.
const MAX_ATTEMPTS: usize = 4;

/// A request and the outcome of each of its attempts.
#[derive(Debug, Clone)]
pub(crate) struct RequestHistory {
    /// Body, unique to this request.
    pub(crate) body: String,
    /// Whether the request must not run more than once.
    pub(crate) at_most_once: bool,
    /// Outcome of each attempt, in order.
    pub(crate) outcomes: Vec<CallOutcome>,
}

/// Sends requests one after another until `stop` is set.
pub(crate) async fn send_requests(
    seed: u64,
    directory: Directory,
    mut stop: watch::Receiver<bool>,
) -> Vec<RequestHistory> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut histories = Vec::new();
    while !*stop.borrow() {
        histories.push(send_one(&directory, &mut rng).await);
        let _ = tokio::time::timeout(REQUEST_INTERVAL, stop.changed()).await;
    }
    histories
}

async fn send_one(directory: &Directory, rng: &mut StdRng) -> RequestHistory {
    let body = format!("household {:016x}", rng.random::<u64>());
    let binding = match rng.random_range(0..3) {
        0 => Binding::Unbound,
        1 => Binding::Key(new_key(rng)),
        _ => request_ticket(directory, rng)
            .await
            .map_or(Binding::Unbound, Binding::Ticket),
    };
    let at_most_once = binding != Binding::Unbound || rng.random_bool(0.5);
    let class = if at_most_once {
        "seat-assign"
    } else {
        "seat-check"
    };
    let urgent = UrgentRequest::builder()
        .class(class)
        .body(body.clone())
        .binding(binding.clone())
        .build();
    let mut outcomes = vec![send(directory.pick(rng).callers, &urgent).await];
    // Only a bound request may be retried by its caller: its key or ticket makes the attempts one
    // request.
    while binding != Binding::Unbound && outcomes.len() < MAX_ATTEMPTS && is_undecided(&outcomes) {
        tokio::time::sleep(REQUEST_INTERVAL).await;
        outcomes.push(send(directory.pick(rng).callers, &urgent).await);
    }
    RequestHistory {
        body,
        at_most_once,
        outcomes,
    }
}

fn is_undecided(outcomes: &[CallOutcome]) -> bool {
    outcomes
        .last()
        .is_some_and(|last| matches!(last, CallOutcome::Unknown | CallOutcome::Nothing))
}

async fn request_ticket(directory: &Directory, rng: &mut StdRng) -> Option<String> {
    let body = json!({"class": "seat-assign"}).to_string();
    let to = directory.pick(rng).callers;
    let reply = call(
        Call::builder()
            .to(to)
            .method(Method::Post)
            .path("/v1/tickets")
            .body(body)
            .build(),
    )
    .await
    .ok()?;
    let issued: Value = reply.json()?;
    issued["ticket"].as_str().map(ToOwned::to_owned)
}
