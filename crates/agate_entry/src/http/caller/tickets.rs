//! `/v1/tickets`: tickets that bind a new key to an incarnation.

use std::sync::Arc;
use std::time::Duration;

use agate_core::{ClassName, Findings};
use agate_preset::reader::Reader;
use dropshot::{HttpError, RequestContext, StreamingBody, endpoint};
use http::StatusCode;
use serde::Serialize;

use crate::entry::Entry;
use crate::http::reply::{self, Reply};
use crate::http::{body, json};
use crate::urgent::routed::{new_ticket, no_target_message};

/// Largest body of a ticket request.
const MAX_BODY_BYTES: usize = 4_096;

/// A ticket and its binding.
#[derive(Debug, Serialize)]
struct IssuedTicket {
    ticket: String,
    key: String,
    incarnation: String,
    address: String,
}

/// Issues a ticket that binds a new key to one incarnation; the body names the class.
#[endpoint { method = POST, path = "/v1/tickets" }]
pub(crate) async fn issue_ticket(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    let mut findings = Findings::new();
    let received = body::read(&entry.intake, input, MAX_BODY_BYTES, &mut findings).await;
    let received = match received {
        Ok(received) => received,
        Err(refusal) => return Ok(refusal),
    };
    let class = read_class(&received.bytes, &mut findings);
    let Some(class) = class.filter(|_| findings.is_empty()) else {
        return Ok(reply::invalid(&findings));
    };
    let policy = entry.preset().class(&class);
    let budget = Duration::from_millis(u64::from(policy.deadline_ms));
    match entry
        .router
        .choose_for_ticket(&entry.members, &class, budget)
    {
        Ok(target) => {
            let ticket = new_ticket(target);
            let issued = IssuedTicket {
                ticket: entry.signer.sign(&ticket),
                key: ticket.key.to_string(),
                incarnation: ticket.incarnation.to_string(),
                address: ticket.address.to_string(),
            };
            Ok(reply::json(StatusCode::CREATED, &issued))
        }
        Err(no_target) => {
            let message = no_target_message(no_target.reason);
            let status = StatusCode::SERVICE_UNAVAILABLE;
            let reply = reply::problem(status, "no-backend", message);
            Ok(reply::with_retry(reply, no_target.retry_after))
        }
    }
}

fn read_class(bytes: &[u8], findings: &mut Findings) -> Option<ClassName> {
    let value = json::parse(bytes, findings)?;
    let mut reader = Reader::new("", Some(&value), findings);
    let class = json::required(&mut reader, "class", findings);
    reader.finish(findings);
    class
}
