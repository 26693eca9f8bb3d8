//! Reads a JSON object field by field and collects a finding for every problem.

use std::collections::BTreeSet;
use std::ops::RangeInclusive;
use std::str::FromStr;

use agate_core::Findings;
use serde_json::{Map, Value};
use strum::VariantNames;

/// Reads the fields of a JSON object.
#[derive(Debug)]
pub struct Reader<'a> {
    place: String,
    object: Option<&'a Map<String, Value>>,
    read_fields: BTreeSet<&'static str>,
}

impl<'a> Reader<'a> {
    /// Creates a reader for the object `value` at `place`. A missing value counts as empty.
    pub fn new(
        place: impl Into<String>,
        value: Option<&'a Value>,
        findings: &mut Findings,
    ) -> Self {
        let place = place.into();
        let object = match value {
            None => None,
            Some(Value::Object(object)) => Some(object),
            Some(other) => {
                findings.add(
                    display_place(&place),
                    format!("expected an object, found {}", kind_of(other)),
                );
                None
            }
        };
        Self {
            place,
            object,
            read_fields: BTreeSet::new(),
        }
    }

    /// Returns the place of the field `name`.
    pub fn place_of(&self, name: &str) -> String {
        if self.place.is_empty() {
            name.to_owned()
        } else {
            format!("{}.{name}", self.place)
        }
    }

    /// Returns the raw value of the field `name` and marks the field as read.
    pub fn take(&mut self, name: &'static str) -> Option<&'a Value> {
        self.read_fields.insert(name);
        self.object.and_then(|object| object.get(name))
    }

    /// Returns a reader for the object in the field `name`.
    pub fn section(&mut self, name: &'static str, findings: &mut Findings) -> Self {
        let place = self.place_of(name);
        Self::new(place, self.take(name), findings)
    }

    /// Returns the name of every member of this object with a reader for its value.
    pub fn members(&self, findings: &mut Findings) -> Vec<(&'a str, Self)> {
        let Some(object) = self.object else {
            return Vec::new();
        };
        let open = |(name, value): (&'a String, &'a Value), findings: &mut Findings| {
            (
                name.as_str(),
                Self::new(self.place_of(name), Some(value), findings),
            )
        };
        object.iter().map(|entry| open(entry, findings)).collect()
    }

    /// Reads a whole number within `range`.
    pub fn number(
        &mut self,
        name: &'static str,
        range: RangeInclusive<u32>,
        default: u32,
        findings: &mut Findings,
    ) -> u32 {
        let Some(value) = self.take(name) else {
            return default;
        };
        let number = value.as_u64().and_then(|n| u32::try_from(n).ok());
        match number {
            Some(number) if range.contains(&number) => number,
            _ => {
                let (low, high) = (range.start(), range.end());
                findings.add(
                    self.place_of(name),
                    format!("expected a whole number from {low} to {high}, found {value}"),
                );
                default
            }
        }
    }

    /// Reads `true` or `false`.
    pub fn flag(&mut self, name: &'static str, default: bool, findings: &mut Findings) -> bool {
        let Some(value) = self.take(name) else {
            return default;
        };
        value.as_bool().unwrap_or_else(|| {
            findings.add(
                self.place_of(name),
                format!("expected true or false, found {value}"),
            );
            default
        })
    }

    /// Reads the name of a variant of `T`.
    pub fn choice<T: FromStr + VariantNames>(
        &mut self,
        name: &'static str,
        default: T,
        findings: &mut Findings,
    ) -> T {
        let Some(value) = self.take(name) else {
            return default;
        };
        let parsed = value.as_str().and_then(|text| text.parse().ok());
        parsed.unwrap_or_else(|| {
            let names = T::VARIANTS.join(", ");
            findings.add(
                self.place_of(name),
                format!("expected one of {names}, found {value}"),
            );
            default
        })
    }

    /// Adds a finding for every field that was not read.
    pub fn finish(self, findings: &mut Findings) {
        let Some(object) = self.object else { return };
        for name in object
            .keys()
            .filter(|name| !self.read_fields.contains(name.as_str()))
        {
            findings.add(
                self.place_of(name),
                "unknown field; remove it or correct its spelling",
            );
        }
    }
}

fn display_place(place: &str) -> &str {
    if place.is_empty() { "document" } else { place }
}

fn kind_of(value: &Value) -> &'static str {
    match value {
        Value::Null => "null",
        Value::Bool(_) => "a boolean",
        Value::Number(_) => "a number",
        Value::String(_) => "a string",
        Value::Array(_) => "an array",
        Value::Object(_) => "an object",
    }
}
