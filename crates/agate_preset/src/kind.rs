//! Kinds of day.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumIter, EnumString, IntoStaticStr, VariantNames};

/// Kind of day that a preset is for.
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
