//! Reading of request bodies up to a size limit.

use std::time::Duration;

use agate_core::Findings;
use agate_intake::{Intake, Ticket};
use dropshot::StreamingBody;
use futures::StreamExt;
use http::StatusCode;
use tokio::time::timeout;

use super::reply::{self, Reply};

/// Place of findings about the whole body.
pub(crate) const PLACE: &str = "body";

/// Time limit for receiving a body.
const READ_TIMEOUT: Duration = Duration::from_secs(30);

/// Retry delay of a request whose body was given up for others.
const RETRY: Duration = Duration::from_secs(1);

/// A body, which counts against the limits of the process until it is dropped.
#[derive(Debug)]
pub(crate) struct Received {
    pub(crate) bytes: Vec<u8>,
    _ticket: Ticket,
}

/// Reads a complete body of at most `limit` bytes.
///
/// A body that is too large, broken or late is reported as a finding, so that it is listed together
/// with invalid headers.
///
/// # Errors
///
/// Returns the response for a request that was given up because unfinished requests take too much.
pub(crate) async fn read(
    intake: &Intake,
    body: StreamingBody,
    limit: usize,
    findings: &mut Findings,
) -> Result<Received, Reply> {
    let ticket = intake.open().ok_or_else(given_up)?;
    ticket.begin_body();
    let collected = tokio::select! {
        collected = timeout(READ_TIMEOUT, collect(&ticket, body, limit)) => collected,
        () = ticket.closed() => return Err(given_up()),
    };
    // The request must not take effect unless its place was kept until the body was complete.
    ticket.complete().map_err(|_closed| given_up())?;
    let bytes = collected.ok().flatten().unwrap_or_else(|| {
        findings.add(
            PLACE,
            format!("must arrive whole within 30 seconds and hold at most {limit} bytes"),
        );
        Vec::new()
    });
    Ok(Received {
        bytes,
        _ticket: ticket,
    })
}

fn given_up() -> Reply {
    let message =
        "the request was given up for others before its body was complete; it was not run";
    let problem = reply::problem(StatusCode::SERVICE_UNAVAILABLE, "busy", message);
    reply::with_retry(problem, RETRY)
}

async fn collect(ticket: &Ticket, body: StreamingBody, limit: usize) -> Option<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut stream = std::pin::pin!(body.into_stream());
    while let Some(chunk) = stream.next().await {
        let chunk = chunk.ok()?;
        if bytes.len() + chunk.len() > limit {
            return None;
        }
        ticket.receive(chunk.len());
        let capacity = bytes.capacity();
        bytes.extend_from_slice(&chunk);
        ticket.grow(bytes.capacity() - capacity).ok()?;
    }
    Some(bytes)
}
