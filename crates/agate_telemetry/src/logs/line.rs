//! Formatting of log events.

use std::fmt::Write as _;

use log::Record;
use log::kv::{Error, Key, Value, VisitSource};

/// Longest value that is written in full, in bytes. Values may be texts of clients.
const MAX_VALUE_BYTES: usize = 4_096;

/// Formats an event as key=value pairs: time, level, target, the event's own pairs, message.
///
/// A value of more than 4 KiB is cut and ends with dots.
///
/// Empty values and values with whitespace, quotes, equals signs, backslashes or control characters
/// are quoted and escaped, so that an event always takes exactly one line.
pub fn line(record: &Record<'_>, time: &str) -> String {
    let level = record.level().as_str().to_ascii_lowercase();
    let mut pairs = Pairs(format!(
        "time={time} level={level} target={}",
        record.target()
    ));
    // Fails only if the formatting of a pair fails. The other parts of the line are kept.
    let _ = record.key_values().visit(&mut pairs);
    let message = record.args().to_string();
    if !message.is_empty() {
        pairs.push("message", &message);
    }
    pairs.0
}

struct Pairs(String);

impl Pairs {
    fn push(&mut self, key: &str, value: &str) {
        let end = value.floor_char_boundary(MAX_VALUE_BYTES);
        let rest = if end < value.len() { "..." } else { "" };
        let value = &value[..end];
        // Writing to a string cannot fail.
        let _ = if is_plain(value) {
            write!(self.0, " {key}={value}{rest}")
        } else {
            write!(self.0, " {key}={value:?}{rest}")
        };
    }
}

impl<'kvs> VisitSource<'kvs> for Pairs {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.push(key.as_str(), &value.to_string());
        Ok(())
    }
}

fn is_plain(value: &str) -> bool {
    let is_plain_char =
        |c: char| !c.is_whitespace() && !c.is_control() && !matches!(c, '"' | '=' | '\\');
    !value.is_empty() && value.chars().all(is_plain_char)
}
