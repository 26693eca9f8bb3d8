//! `/v1/withdrawals`: withdrawing and resuming work in bulk.

use std::sync::Arc;

use agate_core::{ClassName, Findings, Tag};
use agate_preset::reader::Reader;
use agate_records::{Body, Resumed, Withdrawn};
use agate_state::{Effect, RejectReason};
use agate_wire::message::{Selector, StopMode, Withdrawal};
use dropshot::{HttpError, RequestContext, StreamingBody, endpoint};
use http::StatusCode;
use serde::Serialize;

use super::auth;
use crate::entry::Entry;
use crate::http::reply::{self, Reply};
use crate::http::{body, json, ledger};

/// Largest body of a withdrawal or resumption.
const MAX_BODY_BYTES: usize = 4_096;

/// A withdrawal in force.
#[derive(Debug, Serialize)]
struct WithdrawalView {
    selector: Selector,
    mode: String,
    version: String,
}

impl From<&Withdrawal> for WithdrawalView {
    fn from(withdrawal: &Withdrawal) -> Self {
        Self {
            selector: withdrawal.selector.clone(),
            mode: withdrawal.mode.to_string(),
            version: withdrawal.version.to_string(),
        }
    }
}

#[derive(Debug, Serialize)]
struct WithdrawalList {
    withdrawals: Vec<WithdrawalView>,
}

/// Withdraws a class or tag; the body is `{"class": …, "mode": …}` or `{"tag": …, "mode": …}`.
#[endpoint { method = POST, path = "/v1/withdrawals" }]
pub(crate) async fn withdraw(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    change(&context, input, read_withdrawal).await
}

/// Resumes a class or tag; the body is `{"class": …}` or `{"tag": …}`.
#[endpoint { method = DELETE, path = "/v1/withdrawals" }]
pub(crate) async fn resume(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    change(&context, input, read_resumption).await
}

/// Lists the withdrawals in force.
#[endpoint { method = GET, path = "/v1/withdrawals" }]
pub(crate) async fn list_withdrawals(
    context: RequestContext<Arc<Entry>>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    if let Err(refusal) = auth::check(context.request.headers(), &entry.token) {
        return Ok(refusal);
    }
    Ok(list(entry))
}

type Read = fn(&mut Reader<'_>, String, &mut Findings) -> Option<Body>;

async fn change(
    context: &RequestContext<Arc<Entry>>,
    input: StreamingBody,
    read: Read,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    let headers = context.request.headers();
    if let Err(refusal) = auth::check(headers, &entry.token) {
        return Ok(refusal);
    }
    let mut findings = Findings::new();
    let operator = auth::operator_name(headers, &mut findings);
    let received = body::read(&entry.intake, input, MAX_BODY_BYTES, &mut findings).await;
    let received = match received {
        Ok(received) => received,
        Err(refusal) => return Ok(refusal),
    };
    let record = json::parse(&received.bytes, &mut findings).and_then(|value| {
        let mut reader = Reader::new("", Some(&value), &mut findings);
        let record = read(&mut reader, operator, &mut findings);
        reader.finish(&mut findings);
        record
    });
    let Some(record) = record.filter(|_| findings.is_empty()) else {
        return Ok(reply::invalid(&findings));
    };
    Ok(match entry.commit().write_one(record).await {
        Ok(Effect::Applied(_) | Effect::Duplicate) => list(entry),
        Ok(Effect::Rejected(RejectReason::NotWithdrawn)) => {
            let message = RejectReason::NotWithdrawn.to_string();
            reply::problem(StatusCode::NOT_FOUND, "not-withdrawn", &message)
        }
        Ok(Effect::Rejected(reason)) => {
            reply::problem(StatusCode::CONFLICT, "void", &reason.to_string())
        }
        Err(error) => ledger::commit_failed(error),
    })
}

fn read_withdrawal(
    reader: &mut Reader<'_>,
    operator: String,
    findings: &mut Findings,
) -> Option<Body> {
    let selector = read_selector(reader, findings);
    let mode = reader.choice("mode", StopMode::Finish, findings);
    let withdrawn = Withdrawn {
        selector: selector?,
        mode,
        operator,
    };
    Some(withdrawn.into())
}

fn read_resumption(
    reader: &mut Reader<'_>,
    operator: String,
    findings: &mut Findings,
) -> Option<Body> {
    let selector = read_selector(reader, findings)?;
    Some(Resumed { selector, operator }.into())
}

fn read_selector(reader: &mut Reader<'_>, findings: &mut Findings) -> Option<Selector> {
    let found = findings.as_slice().len();
    let class: Option<ClassName> = json::optional(reader, "class", findings);
    let tag: Option<Tag> = json::optional(reader, "tag", findings);
    match (class, tag) {
        (Some(class), None) => Some(Selector::Class(class)),
        (None, Some(tag)) => Some(Selector::Tag(tag)),
        (None, None) | (Some(_), Some(_)) => {
            if findings.as_slice().len() == found {
                findings.add("class", "give either a class or a tag");
            }
            None
        }
    }
}

fn list(entry: &Entry) -> Reply {
    let config_state = entry.config.get().state;
    let withdrawals = config_state.iter().flat_map(|state| &state.withdrawals);
    let withdrawals = withdrawals.map(WithdrawalView::from).collect();
    reply::json(StatusCode::OK, &WithdrawalList { withdrawals })
}
