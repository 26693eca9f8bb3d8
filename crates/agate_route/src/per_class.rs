//! Values kept per class, bounded in number.

use std::collections::HashMap;

use agate_core::ClassName;

/// Classes remembered; all further ones share one value.
const MAX_CLASSES: usize = 1_024;

/// A value for each class seen.
#[derive(Debug, Clone)]
pub(crate) struct PerClass<T> {
    initial: T,
    known: HashMap<ClassName, T>,
    others: T,
}

impl<T: Copy> PerClass<T> {
    pub(crate) fn new(initial: T) -> Self {
        Self {
            initial,
            known: HashMap::new(),
            others: initial,
        }
    }

    pub(crate) fn get(&self, class: &ClassName) -> &T {
        match self.known.get(class) {
            Some(value) => value,
            None if self.known.len() < MAX_CLASSES => &self.initial,
            None => &self.others,
        }
    }

    pub(crate) fn get_mut(&mut self, class: &ClassName) -> &mut T {
        if !self.known.contains_key(class) {
            if self.known.len() >= MAX_CLASSES {
                return &mut self.others;
            }
            self.known.insert(class.clone(), self.initial);
        }
        self.known.get_mut(class).unwrap_or(&mut self.others)
    }
}
