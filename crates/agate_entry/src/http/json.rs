//! Parsing of JSON bodies with a finding for every problem.

use std::str::FromStr;

use agate_core::Findings;
use agate_preset::reader::Reader;
use serde_json::Value;

/// Place of findings about the whole document.
const DOCUMENT: &str = "document";

/// Parses a body as one JSON value.
pub(crate) fn parse(bytes: &[u8], findings: &mut Findings) -> Option<Value> {
    match serde_json::from_slice(bytes) {
        Ok(value) => Some(value),
        Err(error) => {
            findings.add(DOCUMENT, format!("not valid JSON: {error}"));
            None
        }
    }
}

/// Reads a required field and parses it as `T`.
pub(crate) fn required<T: FromStr<Err: ToString>>(
    reader: &mut Reader<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Option<T> {
    let place = reader.place_of(name);
    let Some(value) = reader.take(name) else {
        findings.add(place, "missing");
        return None;
    };
    parse_text(&place, value, findings)
}

/// Reads an optional field and parses it as `T`.
pub(crate) fn optional<T: FromStr<Err: ToString>>(
    reader: &mut Reader<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Option<T> {
    let place = reader.place_of(name);
    let value = reader.take(name)?;
    parse_text(&place, value, findings)
}

/// Reads a list and parses each item as `T`; a missing field counts as an empty list.
pub(crate) fn list<T: FromStr<Err: ToString>>(
    reader: &mut Reader<'_>,
    name: &'static str,
    findings: &mut Findings,
) -> Vec<T> {
    let place = reader.place_of(name);
    match reader.take(name) {
        None => Vec::new(),
        Some(Value::Array(items)) => {
            let items = items.iter().enumerate();
            items
                .filter_map(|(i, item)| parse_text(&format!("{place}[{i}]"), item, findings))
                .collect()
        }
        Some(other) => {
            findings.add(place, format!("expected a list, found {other}"));
            Vec::new()
        }
    }
}

/// Reads an optional text field without validating its content.
pub(crate) fn text(reader: &mut Reader<'_>, name: &'static str, findings: &mut Findings) -> String {
    let place = reader.place_of(name);
    match reader.take(name) {
        None => String::new(),
        Some(Value::String(text)) => text.clone(),
        Some(other) => {
            findings.add(place, format!("expected a text, found {other}"));
            String::new()
        }
    }
}

fn parse_text<T: FromStr<Err: ToString>>(
    place: &str,
    value: &Value,
    findings: &mut Findings,
) -> Option<T> {
    let Value::String(text) = value else {
        findings.add(place, format!("expected a text, found {value}"));
        return None;
    };
    super::head::parse_at(place, text, findings)
}
