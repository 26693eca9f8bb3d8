//! Descriptions of preset fields, for reference pages and tests.

use std::ops::RangeInclusive;

/// A whole-number field of a preset section.
#[derive(Debug, Clone)]
pub struct Field {
    /// Name of the field within its section.
    pub name: &'static str,
    /// What the field sets.
    pub about: &'static str,
    /// Unit of the value.
    pub unit: &'static str,
    /// Accepted values.
    pub range: RangeInclusive<u32>,
    /// Value used if the field is missing.
    pub default: u32,
}

/// A section of a preset.
#[derive(Debug, Clone)]
pub struct Section {
    /// Name of the section.
    pub name: &'static str,
    /// What the section configures.
    pub about: &'static str,
    /// Fields of the section.
    pub fields: Vec<Field>,
}
