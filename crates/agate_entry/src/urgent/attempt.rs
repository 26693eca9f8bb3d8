//! One attempt to have a request served by one incarnation.

use std::time::Duration;

use agate_core::Incarnation;
use agate_wire::message::{Answer, Load, Refusal, ServeReply, ServeRequest, ServeResult};
use agate_wire::rpc::AgentRpcClient;

use super::Deadline;
use crate::rpc::Link;

/// A whole answer whose body has been checked.
#[derive(Debug, Clone)]
pub(crate) struct WholeAnswer {
    /// Status, media type and wrapped body.
    pub(crate) answer: Answer,
    /// The body.
    pub(crate) body: Vec<u8>,
}

impl WholeAnswer {
    /// Checks the body of `answer`; `None` if it is cut short or damaged.
    pub(crate) fn check(answer: Answer) -> Option<Self> {
        let body = answer.body.open().ok()?;
        Some(Self { answer, body })
    }
}

/// How an attempt ended.
#[derive(Debug)]
pub(crate) enum Attempt {
    /// The whole answer arrived.
    Done(WholeAnswer),
    /// The agent refused: this attempt did not run and never will.
    Refused {
        /// Why.
        reason: Refusal,
        /// When it is worth coming back.
        retry: Duration,
    },
    /// No connection came about, so that nothing was sent.
    NotSent(String),
    /// The backend server gave no whole answer; the request may have run.
    Failed(String),
    /// The connection was lost, or what arrived was not the answer; the request may have run.
    Lost(String),
    /// Time ran out; the request may have run.
    Late,
}

/// An attempt's end and the load that the agent told.
#[derive(Debug)]
pub(crate) struct Attempted {
    pub(crate) attempt: Attempt,
    pub(crate) load: Option<Load>,
}

impl Attempted {
    const fn silent(attempt: Attempt) -> Self {
        Self {
            attempt,
            load: None,
        }
    }
}

/// Sends `request` over `link` and waits for its answer.
pub(crate) async fn attempt(link: &Link, request: ServeRequest, deadline: &Deadline) -> Attempted {
    let (id, incarnation) = (request.request, request.incarnation);
    let client = match deadline.run(link.client()).await {
        Ok(Ok(client)) => client,
        Ok(Err(error)) => return Attempted::silent(Attempt::NotSent(error.to_string())),
        Err(_passed) => {
            let reason = "no connection came about in time".to_owned();
            return Attempted::silent(Attempt::NotSent(reason));
        }
    };
    match deadline.run(client.serve(request)).await {
        Ok(Ok(reply)) => Attempted {
            load: Some(reply.load),
            attempt: judge(reply, id, incarnation),
        },
        Ok(Err(error)) => {
            if !matches!(error, jsonrpsee::core::client::Error::Call(_)) {
                link.condemn(&client).await;
            }
            Attempted::silent(Attempt::Lost(error.to_string()))
        }
        Err(_passed) => Attempted::silent(Attempt::Late),
    }
}

fn judge(reply: ServeReply, id: u64, incarnation: Incarnation) -> Attempt {
    if reply.request != id {
        log::error!(
            event = "reply_crossed", incarnation:%, expected = id, found = reply.request;
            "a reply to another request was dropped"
        );
        return Attempt::Lost("the reply belongs to another request".to_owned());
    }
    match reply.result {
        ServeResult::Done(answer) => WholeAnswer::check(answer).map_or_else(
            || {
                log::error!(event = "reply_damaged", incarnation:%, request = id; "a reply was dropped");
                Attempt::Lost("the reply was cut short or damaged".to_owned())
            },
            Attempt::Done,
        ),
        ServeResult::Refused { reason, retry_ms } => Attempt::Refused {
            reason,
            retry: Duration::from_millis(retry_ms),
        },
        ServeResult::Failed { reason } => Attempt::Failed(reason),
    }
}
