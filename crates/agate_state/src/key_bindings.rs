//! Bindings of idempotency keys, folded from their own stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Incarnation, Key, Position};
use agate_records::KeyBound;

/// What a key is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyBinding {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Where entries reach it.
    pub address: SocketAddr,
    /// Place of the record that bound it.
    pub position: Position,
}

/// What a binding record did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyEffect {
    /// The key is bound by this record.
    Bound,
    /// An earlier record bound the key.
    AlreadyBound(KeyBinding),
    /// The key is older than the window, or from the future; nobody acts on it.
    OutOfWindow,
}

/// The bindings of every key that is young enough to be acted on.
///
/// The first record of a key in log order wins. A key says when it was made, so a key past the
/// window can be forgotten: every process refuses it by its age.
#[derive(Debug)]
pub struct KeyBindings {
    window: Duration,
    /// Ordered by key, which begins with the time at which it was made.
    bound: BTreeMap<Key, KeyBinding>,
}

impl KeyBindings {
    /// Starts without bindings. `window` is the age past which a key is refused.
    pub const fn new(window: Duration) -> Self {
        Self {
            window,
            bound: BTreeMap::new(),
        }
    }

    /// Folds the record at `position`. `wall_ms` is the reader's wall clock in milliseconds since
    /// the Unix epoch.
    pub fn apply(&mut self, position: Position, record: &KeyBound, wall_ms: u64) -> KeyEffect {
        if record.key.check_age(wall_ms, self.keep()).is_err() {
            return KeyEffect::OutOfWindow;
        }
        if let Some(holder) = self.bound.get(&record.key) {
            return KeyEffect::AlreadyBound(*holder);
        }
        let binding = KeyBinding {
            incarnation: record.incarnation,
            address: record.address,
            position,
        };
        self.bound.insert(record.key, binding);
        KeyEffect::Bound
    }

    /// What `key` is bound to.
    pub fn get(&self, key: Key) -> Option<KeyBinding> {
        self.bound.get(&key).copied()
    }

    /// Forgets every key past the window.
    pub fn prune(&mut self, wall_ms: u64) {
        let keep = self.keep();
        while let Some(oldest) = self.bound.first_entry() {
            if oldest.key().check_age(wall_ms, keep).is_ok() {
                return;
            }
            oldest.remove();
        }
    }

    /// Number of bindings held.
    pub fn len(&self) -> usize {
        self.bound.len()
    }

    /// Whether no binding is held.
    pub fn is_empty(&self) -> bool {
        self.bound.is_empty()
    }

    /// Keys are kept for longer than they are acted on, because wall clocks differ.
    fn keep(&self) -> Duration {
        self.window + Key::MAX_SKEW
    }
}
