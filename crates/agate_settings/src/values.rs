//! Effective settings of a program.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use crate::value::Value;
use crate::{Describe, Secret};

/// Source of a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "lowercase")]
pub(crate) enum Source {
    Flag,
    Variable,
    Default,
}

#[derive(Debug, Clone)]
pub(crate) struct Item<S> {
    pub(crate) setting: S,
    pub(crate) value: Value,
    pub(crate) source: Source,
}

/// The effective settings of a program, one value per setting.
///
/// The typed getters panic if the setting is described as another kind. This is a bug in the
/// program that the first run of its tests finds.
#[derive(Debug, Clone)]
pub struct Values<S> {
    pub(crate) items: Vec<Item<S>>,
}

impl<S: Describe> Values<S> {
    fn value(&self, setting: S) -> &Value {
        let item = self.items.iter().find(|item| item.setting == setting);
        &item
            .expect("every setting has a value once loading has succeeded")
            .value
    }

    /// Returns a whole number.
    pub fn number(&self, setting: S) -> u64 {
        let Value::Number(number) = self.value(setting) else {
            panic_on_kind_mismatch(setting)
        };
        *number
    }

    /// Returns a whole number, clamped to the range of `u32`.
    pub fn number_u32(&self, setting: S) -> u32 {
        u32::try_from(self.number(setting)).unwrap_or(u32::MAX)
    }

    /// Returns a number of milliseconds as a duration.
    pub fn millis(&self, setting: S) -> Duration {
        Duration::from_millis(self.number(setting))
    }

    /// Returns an optional whole number.
    pub fn optional_number(&self, setting: S) -> Option<u64> {
        let Value::OptionalNumber(number) = self.value(setting) else {
            panic_on_kind_mismatch(setting)
        };
        *number
    }

    /// Returns an optional number of milliseconds as a duration.
    pub fn optional_millis(&self, setting: S) -> Option<Duration> {
        self.optional_number(setting).map(Duration::from_millis)
    }

    /// Returns a decimal number in thousandths, or `None` if it is absent.
    pub fn thousandths(&self, setting: S) -> Option<u64> {
        let Value::Decimal(thousandths) = self.value(setting) else {
            panic_on_kind_mismatch(setting)
        };
        *thousandths
    }

    /// Returns an address.
    pub fn address(&self, setting: S) -> SocketAddr {
        let Value::Address(address) = self.value(setting) else {
            panic_on_kind_mismatch(setting)
        };
        *address
    }

    /// Returns a list of addresses.
    pub fn addresses(&self, setting: S) -> &[SocketAddr] {
        let Value::Addresses(list) = self.value(setting) else {
            panic_on_kind_mismatch(setting)
        };
        list
    }

    /// Returns a name, a choice, or free text.
    pub fn text(&self, setting: S) -> &str {
        let Value::Text(text) = self.value(setting) else {
            panic_on_kind_mismatch(setting)
        };
        text
    }

    /// Returns a list of names.
    pub fn names(&self, setting: S) -> &[String] {
        let Value::Names(names) = self.value(setting) else {
            panic_on_kind_mismatch(setting)
        };
        names
    }

    /// Returns a secret.
    pub fn secret(&self, setting: S) -> &Secret {
        let Value::Secret(secret) = self.value(setting) else {
            panic_on_kind_mismatch(setting)
        };
        secret
    }

    /// Returns one line per setting with its flag, value and source.
    pub fn summary(&self) -> String {
        let mut text = String::new();
        for item in &self.items {
            let flag = item.setting.describe().flag;
            // Writing to a string cannot fail.
            let _ = writeln!(text, "{flag}={} source={}", item.value, item.source);
        }
        text
    }
}

fn panic_on_kind_mismatch<S: Describe>(setting: S) -> ! {
    panic!("setting {setting:?} is of another kind than requested")
}
