//! `/v1/presets`: publishing and switching presets.

mod read;
mod view;

use std::sync::Arc;

use agate_core::{Findings, Version};
use agate_state::{Effect, RejectReason};
use dropshot::{HttpError, RequestContext, StreamingBody, endpoint};
use http::{HeaderMap, StatusCode};

use self::read::{read_preset, read_switch};
use self::view::{Conflict, InForceView, PresetList, PublishedView, SwitchList, SwitchView};
use super::auth;
use crate::entry::Entry;
use crate::http::reply::{self, Reply};
use crate::http::{body, ledger};

/// Largest body of a preset with its envelope.
const MAX_BODY_BYTES: usize = 300 * 1024;

type Read<T> = fn(&[u8], &HeaderMap, &mut Findings) -> Option<T>;

/// Checks the operator's token and parses a record from the body. Returns the error response if the
/// token or the body is invalid.
async fn read_record<T>(
    context: &RequestContext<Arc<Entry>>,
    input: StreamingBody,
    read: Read<T>,
) -> Result<T, Reply> {
    let headers = context.request.headers();
    auth::check(headers, &context.context().token)?;
    let mut findings = Findings::new();
    let intake = &context.context().intake;
    let received = body::read(intake, input, MAX_BODY_BYTES, &mut findings).await?;
    let record = read(&received.bytes, headers, &mut findings);
    let record = record.filter(|_| findings.is_empty());
    record.ok_or_else(|| reply::invalid(&findings))
}

/// Publishes a preset under a name; the body is `{"name": …, "preset": {…}}`.
#[endpoint { method = POST, path = "/v1/presets" }]
pub(crate) async fn publish_preset(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    let record = match read_record(&context, input, read_preset).await {
        Ok(record) => record,
        Err(refusal) => return Ok(refusal),
    };
    let name = record.name.clone();
    Ok(match entry.commit().write_one(record).await {
        Ok(Effect::Applied(_) | Effect::Duplicate) => show_published(entry, &name),
        Ok(Effect::Rejected(reason)) => {
            reply::problem(StatusCode::CONFLICT, "void", &reason.to_string())
        }
        Err(error) => ledger::commit_failed(error),
    })
}

fn show_published(entry: &Entry, name: &str) -> Reply {
    let view = entry.folded.with(|state| {
        let mut presets = state.presets();
        let published = presets.find(|published| published.record.name == name);
        published.map(PublishedView::from)
    });
    reply::json(StatusCode::CREATED, &view)
}

/// Lists the published presets.
#[endpoint { method = GET, path = "/v1/presets" }]
pub(crate) async fn list_presets(context: RequestContext<Arc<Entry>>) -> Result<Reply, HttpError> {
    let entry = context.context();
    if let Err(refusal) = auth::check(context.request.headers(), &entry.token) {
        return Ok(refusal);
    }
    let presets = entry
        .folded
        .with(|state| state.presets().map(PublishedView::from).collect());
    Ok(reply::json(StatusCode::OK, &PresetList { presets }))
}

/// Switches to a published preset if the version in force is still the expected one; the body is
/// `{"name": …, "expected": "OFFSET+INDEX"}`.
#[endpoint { method = POST, path = "/v1/presets/switch" }]
pub(crate) async fn switch_preset(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    let record = match read_record(&context, input, read_switch).await {
        Ok(record) => record,
        Err(refusal) => return Ok(refusal),
    };
    Ok(match entry.commit().write_one(record).await {
        Ok(Effect::Applied(_) | Effect::Duplicate) => show_in_force(entry),
        Ok(Effect::Rejected(reason)) => refused(reason),
        Err(error) => ledger::commit_failed(error),
    })
}

fn refused(reason: RejectReason) -> Reply {
    let message = reason.to_string();
    match reason {
        RejectReason::NotInForce { name, version } => {
            let conflict = Conflict {
                error: "conflict",
                message,
                in_force: name,
                version: version.to_string(),
            };
            reply::json(StatusCode::CONFLICT, &conflict)
        }
        RejectReason::UnknownPreset => {
            reply::problem(StatusCode::NOT_FOUND, "no-such-preset", &message)
        }
        _ => reply::problem(StatusCode::CONFLICT, "void", &message),
    }
}

/// Shows the preset in force.
#[endpoint { method = GET, path = "/v1/presets/in-force" }]
pub(crate) async fn preset_in_force(
    context: RequestContext<Arc<Entry>>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    if let Err(refusal) = auth::check(context.request.headers(), &entry.token) {
        return Ok(refusal);
    }
    Ok(show_in_force(entry))
}

fn show_in_force(entry: &Entry) -> Reply {
    let config_state = entry.config.get().state;
    let in_force = config_state.and_then(|state| state.preset.clone());
    let view = match in_force {
        Some(in_force) => InForceView {
            name: Some(in_force.name),
            version: in_force.version.to_string(),
            preset: Some(in_force.preset),
        },
        None => InForceView {
            name: None,
            version: Version::default().to_string(),
            preset: None,
        },
    };
    reply::json(StatusCode::OK, &view)
}

/// Lists the newest switches, newest first.
#[endpoint { method = GET, path = "/v1/presets/history" }]
pub(crate) async fn preset_history(
    context: RequestContext<Arc<Entry>>,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    if let Err(refusal) = auth::check(context.request.headers(), &entry.token) {
        return Ok(refusal);
    }
    let switches = entry
        .folded
        .with(|state| state.switches().map(SwitchView::from).collect());
    Ok(reply::json(StatusCode::OK, &SwitchList { switches }))
}
