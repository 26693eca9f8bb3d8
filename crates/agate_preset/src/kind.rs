//! Kinds of day that presets are made for.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

/// The kind of day that a preset is made for.
#[derive(
    Debug,
    Clone,
    Copy,
    PartialEq,
    Eq,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
    VariantNames,
)]
#[serde(rename_all = "kebab-case")]
#[strum(serialize_all = "kebab-case")]
pub enum DayKind {
    /// An ordinary day.
    Ordinary,
    /// A peak, such as a holiday or a renewal date.
    Peak,
    /// Planned maintenance.
    Maintenance,
}
