//! The JSON bodies for publishing and switching presets.

use agate_core::{ClassName, Findings, Offset, Position, Version};
use agate_preset::Preset;
use agate_preset::reader::Reader;
use agate_records::{PresetPublished, PresetSwitched};
use http::HeaderMap;
use serde_json::Value;

use crate::http::json;
use crate::http::operator::auth;

/// Parses a preset and its name and collects every finding.
pub(super) fn read_preset(
    bytes: &[u8],
    headers: &HeaderMap,
    findings: &mut Findings,
) -> Option<PresetPublished> {
    let operator = auth::operator_name(headers, findings);
    let value = json::parse(bytes, findings)?;
    let mut reader = Reader::new("", Some(&value), findings);
    let name: Option<ClassName> = json::required(&mut reader, "name", findings);
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

/// Parses a switch and collects every finding.
pub(super) fn read_switch(
    bytes: &[u8],
    headers: &HeaderMap,
    findings: &mut Findings,
) -> Option<PresetSwitched> {
    let operator = auth::operator_name(headers, findings);
    let value = json::parse(bytes, findings)?;
    let mut reader = Reader::new("", Some(&value), findings);
    let name: Option<ClassName> = json::required(&mut reader, "name", findings);
    let expected: Option<VersionText> = json::required(&mut reader, "expected", findings);
    reader.finish(findings);
    Some(PresetSwitched {
        name: name?.into(),
        expected: expected?.0,
        operator,
    })
}

/// A version in its text form, `OFFSET+INDEX`.
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
