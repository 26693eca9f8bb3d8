//! What became of a key.

use std::time::Duration;

use agate_core::Key;
use agate_wire::message::{KeyStatus, KeyStatusRequest};
use agate_wire::rpc::AgentRpcClient;

use super::attempt::WholeAnswer;
use super::{Deadline, Ticket};
use crate::rpc::Link;

/// Time between two fate queries.
const PAUSE: Duration = Duration::from_millis(50);

/// Longest time that one fate query waits at the agent.
const MAX_WAIT: Duration = Duration::from_secs(1);

/// What is known about a key.
#[derive(Debug)]
pub(crate) enum KnownFate {
    /// It ran; this is its answer.
    Done(WholeAnswer),
    /// It did not run and never will.
    NotRun,
    /// It has not started, and may.
    Pending,
    /// It is running.
    Running,
    /// It ran, but nobody holds its answer.
    Unanswered(String),
    /// The incarnation is gone, and with it everything that it knew.
    Gone,
    /// The incarnation can't be reached.
    Unreachable(String),
}

/// What a fate query does to a key that has not started.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Tombstone {
    /// Keeps it from ever starting.
    Plant,
    /// Leaves it alone.
    Leave,
}

/// Asks once, and waits at the agent for `wait` if the request is running.
pub(crate) async fn ask(
    link: &Link,
    ticket: Ticket,
    tombstone: Tombstone,
    wait: Duration,
    deadline: &Deadline,
) -> KnownFate {
    let request = KeyStatusRequest {
        key: ticket.key,
        incarnation: ticket.incarnation,
        tombstone: tombstone == Tombstone::Plant,
        wait_ms: u64::try_from(wait.as_millis()).unwrap_or(u64::MAX),
    };
    let client = match deadline.run(link.client()).await {
        Ok(Ok(client)) => client,
        Ok(Err(error)) => return KnownFate::Unreachable(error.to_string()),
        Err(_passed) => return late(),
    };
    match deadline.run(client.key_status(request)).await {
        Ok(Ok(reply)) => judge(reply.key, reply.status, ticket.key),
        Ok(Err(error)) => {
            link.condemn(&client).await;
            KnownFate::Unreachable(error.to_string())
        }
        Err(_passed) => late(),
    }
}

/// Asks until the fate is decided, the key is found not to have started, or time runs out.
pub(crate) async fn settle(
    link: &Link,
    ticket: Ticket,
    tombstone: Tombstone,
    deadline: &Deadline,
) -> KnownFate {
    loop {
        let wait = MAX_WAIT.min(deadline.left());
        let known = ask(link, ticket, tombstone, wait, deadline).await;
        match known {
            KnownFate::Running | KnownFate::Unreachable(_) => {}
            KnownFate::Done(_)
            | KnownFate::NotRun
            | KnownFate::Pending
            | KnownFate::Unanswered(_)
            | KnownFate::Gone => return known,
        }
        if deadline.pause(PAUSE).await.is_err() {
            return known;
        }
    }
}

fn late() -> KnownFate {
    KnownFate::Unreachable("the agent did not answer in time".to_owned())
}

fn judge(found: Key, fate: KeyStatus, key: Key) -> KnownFate {
    if found != key {
        log::error!(event = "fate_crossed", expected:% = key, found:%; "a reply was dropped");
        return KnownFate::Unreachable("the reply belongs to another key".to_owned());
    }
    match fate {
        KeyStatus::NotRun => KnownFate::NotRun,
        KeyStatus::Pending => KnownFate::Pending,
        KeyStatus::Running => KnownFate::Running,
        KeyStatus::Done(answer) => WholeAnswer::check(answer).map_or_else(
            || KnownFate::Unreachable("the reply was cut short or damaged".to_owned()),
            KnownFate::Done,
        ),
        KeyStatus::Unanswered { reason } => KnownFate::Unanswered(reason),
        KeyStatus::Gone => KnownFate::Gone,
    }
}
