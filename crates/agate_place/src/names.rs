//! Names interned as small `Copy` keys.

use std::collections::HashMap;
use std::hash::Hash;
use std::marker::PhantomData;

/// A class of work.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClassKey(pub u32);

/// A team.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct TeamKey(pub u32);

/// A key that is an index into a table of names.
pub(crate) trait Index: Copy {
    /// The key of the name at `index`.
    fn from_index(index: u32) -> Self;
}

impl Index for ClassKey {
    fn from_index(index: u32) -> Self {
        Self(index)
    }
}

impl Index for TeamKey {
    fn from_index(index: u32) -> Self {
        Self(index)
    }
}

/// A table of names. Names are kept for good: classes and teams are few and set by operators.
#[derive(Debug)]
pub(crate) struct Names<N, K> {
    keys: HashMap<N, u32>,
    kind: PhantomData<K>,
}

impl<N, K> Default for Names<N, K> {
    fn default() -> Self {
        Self {
            keys: HashMap::new(),
            kind: PhantomData,
        }
    }
}

impl<N: Eq + Hash + Clone, K: Index> Names<N, K> {
    /// The key of `name`, which is added if it is new.
    pub(crate) fn intern(&mut self, name: &N) -> K {
        if let Some(&index) = self.keys.get(name) {
            return K::from_index(index);
        }
        let index = crate::amount::count(self.keys.len());
        self.keys.insert(name.clone(), index);
        K::from_index(index)
    }
}
