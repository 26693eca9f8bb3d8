//! Conversion of commands into HTTP calls.

use std::path::Path;

use agate_core::{Finding, Findings, JobId};
use http::Method;
use serde_json::{Map, Value, json};
use uuid::Uuid;

use crate::cli::{Command, JobCommand, PresetCommand, WorkSelector};
use crate::client::Call;

/// Returns the call that executes `command`. A job without an id gets one here, so that repeating
/// the call submits it only once. The version that a switch expects may still be empty; the caller
/// then fills it in.
///
/// # Errors
///
/// Returns a finding if a file cannot be read or is not valid JSON.
pub(crate) fn call(command: &Command) -> Result<Call, Findings> {
    Ok(match command {
        Command::Preset(command) => preset_call(command)?,
        Command::Withdraw { selector, mode } => {
            let mut body = selector_body(selector);
            body.insert("mode".to_owned(), Value::String(mode.to_string()));
            with_body(Method::POST, "/v1/withdrawals", &Value::Object(body))
        }
        Command::Resume(selector) => {
            let body = Value::Object(selector_body(selector));
            with_body(Method::DELETE, "/v1/withdrawals", &body)
        }
        Command::Withdrawals => get("/v1/withdrawals"),
        Command::Job(command) => job_call(command)?,
        Command::Members => get("/v1/members"),
    })
}

fn preset_call(command: &PresetCommand) -> Result<Call, Findings> {
    Ok(match command {
        PresetCommand::Publish { file, name } => {
            let preset = read_json(file)?;
            let name = match name {
                Some(name) => name.clone(),
                None => stem(file),
            };
            let body = json!({"name": name, "preset": preset});
            with_body(Method::POST, "/v1/presets", &body)
        }
        PresetCommand::List => get("/v1/presets"),
        PresetCommand::Switch { name, expected } => {
            switch_call(name, expected.as_deref().unwrap_or_default())
        }
        PresetCommand::Show => get("/v1/presets/in-force"),
        PresetCommand::History => get("/v1/presets/history"),
    })
}

/// Returns the call that puts a preset in force if the version `expected` still is.
pub(crate) fn switch_call(name: &str, expected: &str) -> Call {
    let body = json!({"name": name, "expected": expected});
    with_body(Method::POST, "/v1/presets/switch", &body)
}

fn job_call(command: &JobCommand) -> Result<Call, Findings> {
    Ok(match command {
        JobCommand::Submit(file) => {
            let mut body = read_json(file)?;
            if let Value::Object(fields) = &mut body {
                fields
                    .entry("job")
                    .or_insert_with(|| Value::String(new_job_id().to_string()));
            }
            with_body(Method::POST, "/v1/jobs", &body)
        }
        JobCommand::Status(job) => get(&format!("/v1/jobs/{job}")),
        JobCommand::List => get("/v1/jobs"),
        JobCommand::Cancel(job) => Call {
            method: Method::DELETE,
            path: format!("/v1/jobs/{job}"),
            body: String::new(),
        },
    })
}

fn new_job_id() -> JobId {
    JobId(Uuid::now_v7().as_u64_pair().1)
}

fn selector_body(selector: &WorkSelector) -> Map<String, Value> {
    let (kind, name) = match selector {
        WorkSelector::Class(class) => ("class", class.as_str()),
        WorkSelector::Tag(tag) => ("tag", tag.as_str()),
    };
    let mut body = Map::new();
    body.insert(kind.to_owned(), Value::String(name.to_owned()));
    body
}

fn read_json(file: &Path) -> Result<Value, Findings> {
    let place = file.display().to_string();
    let text = std::fs::read_to_string(file)
        .map_err(|error| Finding::new(place.clone(), format!("can't be read: {error}")))?;
    let value = serde_json::from_str(&text)
        .map_err(|error| Finding::new(place, format!("not valid JSON: {error}")))?;
    Ok(value)
}

fn stem(file: &Path) -> String {
    let stem = file.file_stem().unwrap_or_default();
    stem.to_string_lossy().into_owned()
}

fn get(path: &str) -> Call {
    Call {
        method: Method::GET,
        path: path.to_owned(),
        body: String::new(),
    }
}

fn with_body(method: Method, path: &str, body: &Value) -> Call {
    Call {
        method,
        path: path.to_owned(),
        body: body.to_string(),
    }
}
