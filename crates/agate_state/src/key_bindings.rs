//! Bindings of idempotency keys, folded from their own stream.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use agate_core::{Incarnation, Key, Position};
use agate_records::KeyBound;

/// The incarnation that a key is bound to.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct KeyBinding {
    /// The incarnation.
    pub incarnation: Incarnation,
    /// Address at which entries reach it.
    pub address: SocketAddr,
    /// Position of the record that bound the key.
    pub position: Position,
}

/// Effect of a binding record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum KeyEffect {
    /// This record bound the key.
    Bound,
    /// An earlier record bound the key.
    AlreadyBound(KeyBinding),
    /// The key is older than the window or from the future, so no process acts on it.
    OutOfWindow,
}

/// The bindings of every key that is still within the window.
///
/// The first record of a key in log order wins. A key contains its creation time, so a key past the
/// window can be removed: every process rejects it by its age.
#[derive(Debug)]
pub struct KeyBindings {
    window: Duration,
    /// Ordered by key, which starts with its creation time.
    bound: BTreeMap<Key, KeyBinding>,
}

impl KeyBindings {
    /// Creates an empty set of bindings. `window` is the age past which a key is rejected.
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

    /// Returns the binding of `key`.
    pub fn get(&self, key: Key) -> Option<KeyBinding> {
        self.bound.get(&key).copied()
    }

    /// Removes every key past the window.
    pub fn prune(&mut self, wall_ms: u64) {
        let keep = self.keep();
        while let Some(oldest) = self.bound.first_entry() {
            if oldest.key().check_age(wall_ms, keep).is_ok() {
                return;
            }
            oldest.remove();
        }
    }

    /// Returns the number of bindings.
    pub fn len(&self) -> usize {
        self.bound.len()
    }

    /// Returns whether there are no bindings.
    pub fn is_empty(&self) -> bool {
        self.bound.is_empty()
    }

    /// Returns how long keys are kept: longer than the window, because wall clocks differ.
    fn keep(&self) -> Duration {
        self.window + Key::MAX_SKEW
    }
}
