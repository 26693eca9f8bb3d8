//! Descriptions of settings.

use std::ops::RangeInclusive;

use strum::IntoEnumIterator;

/// What a setting holds.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// A whole number within a range.
    Number(RangeInclusive<u64>),
    /// An IP address and a port.
    Address,
    /// Addresses joined by commas; may be empty.
    Addresses,
    /// A name as `agate_core` checks it.
    Name,
    /// Names joined by commas; may be empty.
    Names,
    /// Free text.
    Text,
    /// Text that is never shown.
    Secret,
    /// One of a closed set of words.
    Choice(&'static [&'static str]),
}

/// One setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// The long flag, without dashes.
    pub flag: &'static str,
    /// The environment variable.
    pub variable: &'static str,
    /// What the setting does.
    pub about: &'static str,
    /// The unit of its value, or what the value is.
    pub unit: &'static str,
    /// What it holds.
    pub kind: Kind,
    /// The value used when neither flag nor variable is given; none if one must be given.
    pub default: Option<&'static str>,
}

/// The closed set of a program's settings.
pub trait Describe: Copy + Eq + std::fmt::Debug + IntoEnumIterator + 'static {
    /// Describes this setting.
    fn describe(self) -> Setting;
}

/// A program that has settings.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// What the program is.
    pub about: &'static str,
    /// Prefix of its environment variables; an unknown variable with this prefix is a finding.
    pub prefix: &'static str,
}
