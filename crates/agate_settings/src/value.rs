//! Parsing and validation of values.

use std::fmt;
use std::net::SocketAddr;

use agate_core::names::NameError;
use agate_core::{ClassName, Findings};

use crate::{Kind, Secret, Setting};

/// Thousandths in one, the resolution of decimal numbers.
const THOUSANDTHS: f64 = 1_000.0;

/// The validated value of a setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Value {
    Number(u64),
    OptionalNumber(Option<u64>),
    /// In thousandths.
    Decimal(Option<u64>),
    Address(SocketAddr),
    Addresses(Vec<SocketAddr>),
    Text(String),
    Names(Vec<String>),
    Secret(Secret),
}

impl Value {
    /// Parses `text` as the setting's kind. Adds a finding at `place` if it is invalid.
    pub(crate) fn parse(
        setting: &Setting,
        place: &str,
        text: &str,
        findings: &mut Findings,
    ) -> Option<Self> {
        let parsed = match &setting.kind {
            Kind::Number(range) => parse_number(text, range).map(Self::Number),
            Kind::OptionalNumber(_) if text.is_empty() => Ok(Self::OptionalNumber(None)),
            Kind::OptionalNumber(range) => {
                parse_number(text, range).map(|number| Self::OptionalNumber(Some(number)))
            }
            Kind::Decimal(max) => parse_decimal(text, *max),
            Kind::Address => parse_address(text).map(Self::Address),
            Kind::Addresses => parse_list(text, parse_address).map(Self::Addresses),
            Kind::Name => parse_name(text).map(Self::Text),
            Kind::Names => parse_list(text, parse_name).map(Self::Names),
            Kind::Text => Ok(Self::Text(text.to_owned())),
            Kind::Secret => parse_secret(text),
            Kind::Choice(words) => parse_choice(text, words),
        };
        parsed.map_err(|message| findings.add(place, message)).ok()
    }
}

impl fmt::Display for Value {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Number(number) | Self::OptionalNumber(Some(number)) => number.fmt(f),
            Self::OptionalNumber(None) | Self::Decimal(None) => Ok(()),
            Self::Decimal(Some(thousandths)) => (*thousandths as f64 / THOUSANDTHS).fmt(f),
            Self::Address(address) => address.fmt(f),
            Self::Addresses(list) => {
                let list: Vec<String> = list.iter().map(ToString::to_string).collect();
                f.write_str(&list.join(","))
            }
            Self::Text(text) => f.write_str(text),
            Self::Names(names) => f.write_str(&names.join(",")),
            Self::Secret(_) => f.write_str("(hidden)"),
        }
    }
}

fn parse_number(text: &str, range: &std::ops::RangeInclusive<u64>) -> Result<u64, String> {
    match text.parse() {
        Ok(number) if range.contains(&number) => Ok(number),
        _ => Err(format!(
            "expected a whole number from {} to {}, found {text:?}",
            range.start(),
            range.end()
        )),
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a cast saturates, so negative numbers become zero, and callers limit the number"
)]
const fn round_to_thousandths(number: f64) -> u64 {
    (number * THOUSANDTHS).round() as u64
}

/// Parses a decimal number and rounds it to thousandths. One below half a thousandth is rejected.
fn parse_decimal(text: &str, max: u64) -> Result<Value, String> {
    if text.is_empty() {
        return Ok(Value::Decimal(None));
    }
    let number: Option<f64> = text.parse().ok();
    let in_range = number.filter(|number| *number <= max as f64);
    match in_range.map(round_to_thousandths) {
        Some(thousandths) if thousandths > 0 => Ok(Value::Decimal(Some(thousandths))),
        _ => Err(format!(
            "expected a decimal number from 0.001 to {max}, such as 0.12, or nothing, found {text:?}"
        )),
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|error| {
        format!("expected an IP address and port such as 10.0.0.7:7000, found {text:?}: {error}")
    })
}

fn parse_name(text: &str) -> Result<String, String> {
    let name: Result<ClassName, NameError> = ClassName::new(text);
    name.map(String::from)
        .map_err(|error| format!("{error}; found {text:?}"))
}

fn parse_list<T>(text: &str, parse: fn(&str) -> Result<T, String>) -> Result<Vec<T>, String> {
    text.split(',')
        .map(str::trim)
        .filter(|part| !part.is_empty())
        .map(parse)
        .collect()
}

fn parse_secret(text: &str) -> Result<Value, String> {
    const MIN_SECRET_BYTES: usize = 16;
    if text.len() < MIN_SECRET_BYTES {
        return Err(format!("expected at least {MIN_SECRET_BYTES} bytes"));
    }
    Ok(Value::Secret(Secret::new(text)))
}

fn parse_choice(text: &str, words: &[&str]) -> Result<Value, String> {
    if words.contains(&text) {
        return Ok(Value::Text(text.to_owned()));
    }
    Err(format!(
        "expected one of {}, found {text:?}",
        words.join(", ")
    ))
}
