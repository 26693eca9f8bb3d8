//! Descriptions of preset fields, from which checks and reference pages are made.

use std::ops::RangeInclusive;

/// One whole-number field of a preset section.
#[derive(Debug, Clone)]
pub struct Field {
    /// The field's name within its section.
    pub name: &'static str,
    /// What the field sets.
    pub about: &'static str,
    /// The unit of the value.
    pub unit: &'static str,
    /// The values that are accepted.
    pub range: RangeInclusive<u32>,
    /// The value used when the field is left out.
    pub default: u32,
}

/// One section of a preset.
#[derive(Debug, Clone)]
pub struct Section {
    /// The section's name.
    pub name: &'static str,
    /// What the section governs.
    pub about: &'static str,
    /// The section's fields.
    pub fields: Vec<Field>,
}
