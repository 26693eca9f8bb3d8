//! Interns names as small `Copy` keys.

use std::collections::HashMap;
use std::hash::Hash;
use std::marker::PhantomData;

/// Interned name of a class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey(pub u32);

/// Interned name of a team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamKey(pub u32);

/// A key backed by an index into a table of names.
pub(crate) trait InternKey: Copy {
    /// Returns the key at `index`.
    fn from_index(index: u32) -> Self;
}

impl InternKey for ClassKey {
    fn from_index(index: u32) -> Self {
        Self(index)
    }
}

impl InternKey for TeamKey {
    fn from_index(index: u32) -> Self {
        Self(index)
    }
}

/// A table of interned names. Names are never removed: operators define classes and teams, so there
/// are few.
#[derive(Debug)]
pub(crate) struct Interner<N, K> {
    keys: HashMap<N, u32>,
    marker: PhantomData<K>,
}

impl<N, K> Default for Interner<N, K> {
    fn default() -> Self {
        Self {
            keys: HashMap::new(),
            marker: PhantomData,
        }
    }
}

impl<N: Eq + Hash + Clone, K: InternKey> Interner<N, K> {
    /// Returns the key of `name`, adding it if it is new.
    pub(crate) fn intern(&mut self, name: &N) -> K {
        if let Some(&index) = self.keys.get(name) {
            return K::from_index(index);
        }
        let index = crate::amount::saturating_u32(self.keys.len());
        self.keys.insert(name.clone(), index);
        K::from_index(index)
    }
}
