//! Callers of urgent requests and what they were told.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};
use tokio::sync::watch;

use super::directory::Directory;
use crate::client::{Call, Method, call};
use crate::work::{Binding, CallOutcome, UrgentRequest, new_key, send};

/// Pause of a caller between two requests.
const PAUSE: Duration = Duration::from_millis(60);

/// Attempts of a caller with one key.
const ATTEMPTS: usize = 4;

/// One request and everything that its caller was told.
#[derive(Debug, Clone)]
pub(crate) struct RequestHistory {
    /// Body, unlike that of any other request.
    pub(crate) body: String,
    /// Whether it may not be repeated.
    pub(crate) once: bool,
    /// What the caller was told, attempt by attempt.
    pub(crate) told: Vec<CallOutcome>,
}

/// Sends requests one after another until `stop`.
pub(crate) async fn caller(
    seed: u64,
    directory: Directory,
    mut stop: watch::Receiver<bool>,
) -> Vec<RequestHistory> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut stories = Vec::new();
    while !*stop.borrow() {
        stories.push(one_request(&directory, &mut rng).await);
        let _ = tokio::time::timeout(PAUSE, stop.changed()).await;
    }
    stories
}

async fn one_request(directory: &Directory, rng: &mut StdRng) -> RequestHistory {
    let body = format!("household {:016x}", rng.random::<u64>());
    let binding = match rng.random_range(0..3) {
        0 => Binding::Unbound,
        1 => Binding::Key(new_key(rng)),
        _ => ticket(directory, rng)
            .await
            .map_or(Binding::Unbound, Binding::Ticket),
    };
    let once = binding != Binding::Unbound || rng.random_bool(0.5);
    let class = if once { "seat-assign" } else { "seat-check" };
    let urgent = UrgentRequest::builder()
        .class(class)
        .body(body.clone())
        .binding(binding.clone())
        .build();
    let mut told = vec![send(directory.any(rng).callers, &urgent).await];
    // Only a bound request may be sent again by its caller: the key makes the attempts one request.
    while binding != Binding::Unbound && told.len() < ATTEMPTS && undecided(&told) {
        tokio::time::sleep(PAUSE).await;
        told.push(send(directory.any(rng).callers, &urgent).await);
    }
    RequestHistory { body, once, told }
}

fn undecided(told: &[CallOutcome]) -> bool {
    told.last()
        .is_some_and(|last| matches!(last, CallOutcome::Unknown | CallOutcome::Nothing))
}

async fn ticket(directory: &Directory, rng: &mut StdRng) -> Option<String> {
    let body = json!({"class": "seat-assign"}).to_string();
    let to = directory.any(rng).callers;
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
