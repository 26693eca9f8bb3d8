//! Descriptions of settings.

use std::ops::RangeInclusive;

use strum::IntoEnumIterator;

/// Kind of value that a setting has.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Kind {
    /// A whole number within a range.
    Number(RangeInclusive<u64>),
    /// A whole number within a range, or empty for none.
    OptionalNumber(RangeInclusive<u64>),
    /// A positive decimal number up to a maximum, such as 0.12; may be empty, which means absent.
    Decimal(u64),
    /// An IP address and a port.
    Address,
    /// Addresses joined by commas; may be empty.
    Addresses,
    /// A name that is valid for [`agate_core::names`].
    Name,
    /// Names joined by commas; may be empty.
    Names,
    /// Free text.
    Text,
    /// Text that is never printed.
    Secret,
    /// One of a fixed set of words.
    Choice(&'static [&'static str]),
}

/// Description of a setting.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Setting {
    /// Long flag, without dashes.
    pub flag: &'static str,
    /// Environment variable.
    pub variable: &'static str,
    /// What the setting does.
    pub about: &'static str,
    /// Unit of the value, or what the value is.
    pub unit: &'static str,
    /// Kind of value.
    pub kind: Kind,
    /// Value used if neither the flag nor the variable is given; `None` if the setting is required.
    pub default: Option<&'static str>,
}

/// The settings of a program, as an enum.
pub trait Describe: Copy + Eq + std::fmt::Debug + IntoEnumIterator + 'static {
    /// Returns the description of this setting.
    fn describe(self) -> Setting;
}

/// Description of a program with settings.
#[derive(Debug, Clone, Copy)]
pub struct Program {
    /// Name of the binary.
    pub name: &'static str,
    /// What the program does.
    pub about: &'static str,
    /// Prefix of its environment variables; an unknown variable with this prefix is an error.
    pub prefix: &'static str,
}
