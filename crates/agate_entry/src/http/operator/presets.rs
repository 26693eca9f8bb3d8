//! `/v1/presets`: publishing and switching.

use std::sync::Arc;

use agate_core::{Findings, Offset, Position, Version};
use agate_preset::Preset;
use agate_preset::reader::Reader;
use agate_records::{PresetPublished, PresetSwitched};
use agate_state::{Effect, Published, Switch, VoidReason};
use dropshot::{HttpError, RequestContext, StreamingBody, endpoint};
use http::{HeaderMap, StatusCode};
use serde::Serialize;
use serde_json::Value;

use super::auth;
use crate::entry::Entry;
use crate::http::reply::{self, Reply};
use crate::http::{body, json, ledger};

/// Largest body in bytes: a preset and its envelope.
const MAX_BYTES: usize = 300 * 1024;

/// A published preset.
#[derive(Debug, Serialize)]
struct PublishedView {
    name: String,
    kind: String,
    version: String,
    operator: String,
}

impl From<&Published> for PublishedView {
    fn from(published: &Published) -> Self {
        Self {
            name: published.record.name.clone(),
            kind: published.preset().kind.to_string(),
            version: published.version.to_string(),
            operator: published.record.operator.clone(),
        }
    }
}

#[derive(Debug, Serialize)]
struct PresetList {
    presets: Vec<PublishedView>,
}

/// The preset in force.
#[derive(Debug, Serialize)]
struct InForceView {
    name: Option<String>,
    version: String,
    preset: Option<Preset>,
}

/// One switch.
#[derive(Debug, Serialize)]
struct SwitchView {
    name: String,
    version: String,
    operator: String,
    wall_ms: u64,
}

impl From<&Switch> for SwitchView {
    fn from(switch: &Switch) -> Self {
        Self {
            name: switch.name.clone(),
            version: switch.version.to_string(),
            operator: switch.operator.clone(),
            wall_ms: switch.wall_ms,
        }
    }
}

#[derive(Debug, Serialize)]
struct SwitchList {
    switches: Vec<SwitchView>,
}

/// Tells the loser of two switches who won.
#[derive(Debug, Serialize)]
struct Conflict {
    error: &'static str,
    message: String,
    in_force: String,
    version: String,
}

/// Publishes a preset under a name; the body is `{"name": …, "preset": {…}}`.
#[endpoint { method = POST, path = "/v1/presets" }]
pub(crate) async fn publish_preset(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    let headers = context.request.headers();
    if let Err(refusal) = auth::check(headers, &entry.token) {
        return Ok(refusal);
    }
    let mut findings = Findings::new();
    let bytes = body::read(input, MAX_BYTES, &mut findings).await;
    let record = read_preset(&bytes, headers, &mut findings);
    let Some(record) = record.filter(|_| findings.is_empty()) else {
        return Ok(reply::invalid(&findings));
    };
    let name = record.name.clone();
    Ok(match entry.commit().one(record).await {
        Ok(Effect::Applied(_) | Effect::Duplicate) => show_published(entry, &name),
        Ok(Effect::Void(reason)) => {
            reply::problem(StatusCode::CONFLICT, "void", &reason.to_string())
        }
        Err(error) => ledger::failed(error),
    })
}

fn read_preset(
    bytes: &[u8],
    headers: &HeaderMap,
    findings: &mut Findings,
) -> Option<PresetPublished> {
    let operator = auth::operator(headers, findings);
    let value = json::parse(bytes, findings)?;
    let mut reader = Reader::new("", Some(&value), findings);
    let name: Option<agate_core::ClassName> = json::required(&mut reader, "name", findings);
    let document = reader.take("preset").map(Value::to_string);
    reader.finish(findings);
    let Some(document) = document else {
        findings.add("preset", "missing");
        return None;
    };
    if let Err(found) = Preset::parse(&document) {
        for finding in found.as_slice() {
            findings.add(format!("preset.{}", finding.place), finding.message.clone());
        }
    }
    Some(PresetPublished {
        name: name?.into(),
        json: document,
        operator,
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

/// Puts a published preset in force if the version that the operator saw in force still is; the
/// body is `{"name": …, "expected": "OFFSET+INDEX"}`.
#[endpoint { method = POST, path = "/v1/presets/switch" }]
pub(crate) async fn switch_preset(
    context: RequestContext<Arc<Entry>>,
    input: StreamingBody,
) -> Result<Reply, HttpError> {
    let entry = context.context();
    let headers = context.request.headers();
    if let Err(refusal) = auth::check(headers, &entry.token) {
        return Ok(refusal);
    }
    let mut findings = Findings::new();
    let bytes = body::read(input, MAX_BYTES, &mut findings).await;
    let record = read_switch(&bytes, headers, &mut findings);
    let Some(record) = record.filter(|_| findings.is_empty()) else {
        return Ok(reply::invalid(&findings));
    };
    Ok(match entry.commit().one(record).await {
        Ok(Effect::Applied(_) | Effect::Duplicate) => show_in_force(entry),
        Ok(Effect::Void(reason)) => refused(reason),
        Err(error) => ledger::failed(error),
    })
}

fn read_switch(
    bytes: &[u8],
    headers: &HeaderMap,
    findings: &mut Findings,
) -> Option<PresetSwitched> {
    let operator = auth::operator(headers, findings);
    let value = json::parse(bytes, findings)?;
    let mut reader = Reader::new("", Some(&value), findings);
    let name: Option<agate_core::ClassName> = json::required(&mut reader, "name", findings);
    let expected: Option<VersionText> = json::required(&mut reader, "expected", findings);
    reader.finish(findings);
    Some(PresetSwitched {
        name: name?.into(),
        expected: expected?.0,
        operator,
    })
}

fn refused(reason: VoidReason) -> Reply {
    let message = reason.to_string();
    match reason {
        VoidReason::NotInForce { name, version } => {
            let conflict = Conflict {
                error: "conflict",
                message,
                in_force: name,
                version: version.to_string(),
            };
            reply::json(StatusCode::CONFLICT, &conflict)
        }
        VoidReason::UnknownPreset => {
            reply::problem(StatusCode::NOT_FOUND, "no-such-preset", &message)
        }
        _ => reply::problem(StatusCode::CONFLICT, "void", &message),
    }
}

/// A version as people write it.
#[derive(Debug, Clone, Copy)]
struct VersionText(Version);

impl std::str::FromStr for VersionText {
    type Err = &'static str;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parse = |text: &str| {
            let (offset, index) = text.split_once('+')?;
            let offset = Offset(offset.parse().ok()?);
            Some(Version(Position::new(offset, index.parse().ok()?)))
        };
        parse(text)
            .map(Self)
            .ok_or("a version is written as OFFSET+INDEX; 0+0 if no preset was in force")
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
    let held = entry.config.get().state;
    let in_force = held.and_then(|state| state.preset.clone());
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
