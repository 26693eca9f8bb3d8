//! The effective settings of a program.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;

use crate::value::Value;
use crate::{Describe, Secret};

/// Where a value came from.
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

/// The effective settings of a program, one value for each setting.
///
/// The typed getters panic if the setting is described as another kind: that is a bug in the
/// program, found by the first run of its tests.
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

    /// A whole number.
    pub fn number(&self, setting: S) -> u64 {
        let Value::Number(number) = self.value(setting) else {
            mismatch(setting)
        };
        *number
    }

    /// A whole number that fits 32 bits; larger ones are cut to the largest.
    pub fn number_u32(&self, setting: S) -> u32 {
        u32::try_from(self.number(setting)).unwrap_or(u32::MAX)
    }

    /// A number of milliseconds.
    pub fn millis(&self, setting: S) -> Duration {
        Duration::from_millis(self.number(setting))
    }

    /// An address.
    pub fn address(&self, setting: S) -> SocketAddr {
        let Value::Address(address) = self.value(setting) else {
            mismatch(setting)
        };
        *address
    }

    /// A list of addresses.
    pub fn addresses(&self, setting: S) -> &[SocketAddr] {
        let Value::Addresses(list) = self.value(setting) else {
            mismatch(setting)
        };
        list
    }

    /// A name, a word of a closed set, or free text.
    pub fn text(&self, setting: S) -> &str {
        let Value::Text(text) = self.value(setting) else {
            mismatch(setting)
        };
        text
    }

    /// A list of names.
    pub fn names(&self, setting: S) -> &[String] {
        let Value::Names(names) = self.value(setting) else {
            mismatch(setting)
        };
        names
    }

    /// A secret.
    pub fn secret(&self, setting: S) -> &Secret {
        let Value::Secret(secret) = self.value(setting) else {
            mismatch(setting)
        };
        secret
    }

    /// One line for each setting: its flag, its value and where the value came from.
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

fn mismatch<S: Describe>(setting: S) -> ! {
    panic!("setting {setting:?} is described as another kind than the one asked for")
}
