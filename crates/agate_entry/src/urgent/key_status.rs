//! Status queries for keys.

use std::time::Duration;

use agate_core::Key;
use agate_wire::message::{KeyStatus, KeyStatusRequest};
use agate_wire::rpc::AgentRpcClient;

use super::attempt::VerifiedAnswer;
use super::{Deadline, Ticket};
use crate::rpc::Link;

/// Time between two status queries.
const QUERY_PAUSE: Duration = Duration::from_millis(50);

/// Longest wait of a status query at the agent.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// What is known about a key.
#[derive(Debug)]
pub(crate) enum KnownStatus {
    /// The request ran and was answered.
    Done(VerifiedAnswer),
    /// The request did not run and never will.
    NotRun,
    /// The request has not started and still may.
    Pending,
    /// The request is running.
    Running,
    /// The request ran, but its answer was not kept.
    Unanswered(String),
    /// The incarnation no longer exists, and its state is lost.
    Gone,
    /// The incarnation can't be reached.
    Unreachable(String),
}

/// Whether a status query tombstones a key that has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tombstone {
    /// Tombstones the key, so that it never starts.
    Write,
    /// Leaves the key unchanged.
    Skip,
}

/// Queries the status once, waiting at the agent for up to `wait` while the request is running.
pub(crate) async fn query(
    link: &Link,
    ticket: Ticket,
    tombstone: Tombstone,
    wait: Duration,
    deadline: &Deadline,
) -> KnownStatus {
    let request = KeyStatusRequest {
        key: ticket.key,
        incarnation: ticket.incarnation,
        tombstone: tombstone == Tombstone::Write,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    };
    let client = match deadline.run(link.client()).await {
        Ok(Ok(client)) => client,
        Ok(Err(error)) => return KnownStatus::Unreachable(error.to_string()),
        Err(_exceeded) => return timed_out(),
    };
    match deadline.run(client.key_status(request)).await {
        Ok(Ok(reply)) => classify_status(reply.key, reply.status, ticket.key),
        Ok(Err(error)) => {
            link.discard(&client).await;
            KnownStatus::Unreachable(error.to_string())
        }
        Err(_exceeded) => timed_out(),
    }
}

/// Queries the status until it is final, the key is found not to have started, or time runs out.
pub(crate) async fn resolve(
    link: &Link,
    ticket: Ticket,
    tombstone: Tombstone,
    deadline: &Deadline,
) -> KnownStatus {
    loop {
        let wait = MAX_WAIT.min(deadline.remaining());
        let known = query(link, ticket, tombstone, wait, deadline).await;
        match known {
            KnownStatus::Running | KnownStatus::Unreachable(_) => {}
            KnownStatus::Done(_)
            | KnownStatus::NotRun
            | KnownStatus::Pending
            | KnownStatus::Unanswered(_)
            | KnownStatus::Gone => return known,
        }
        if deadline.sleep(QUERY_PAUSE).await.is_err() {
            return known;
        }
    }
}

fn timed_out() -> KnownStatus {
    KnownStatus::Unreachable("the agent did not answer in time".to_owned())
}

fn classify_status(found: Key, status: KeyStatus, key: Key) -> KnownStatus {
    if found != key {
        log::error!(event = "fate_crossed", expected:% = key, found:%; "dropped a reply for another key");
        return KnownStatus::Unreachable("the reply belongs to another key".to_owned());
    }
    match status {
        KeyStatus::NotRun => KnownStatus::NotRun,
        KeyStatus::Pending => KnownStatus::Pending,
        KeyStatus::Running => KnownStatus::Running,
        KeyStatus::Done(answer) => VerifiedAnswer::verify(answer).map_or_else(
            || KnownStatus::Unreachable("the reply was cut short or damaged".to_owned()),
            KnownStatus::Done,
        ),
        KeyStatus::Unanswered { reason } => KnownStatus::Unanswered(reason),
        KeyStatus::Gone => KnownStatus::Gone,
    }
}
