//! A bounded map of per-class values.

use std::collections::HashMap;

use agate_core::ClassName;

/// Maximum number of classes with a value of their own; all others share one value.
const MAX_CLASSES: usize = 1_024;

/// A value per class.
#[derive(Debug, Clone)]
pub(crate) struct PerClass<T> {
    initial: T,
    values: HashMap<ClassName, T>,
    overflow: T,
}

impl<T: Copy> PerClass<T> {
    pub(crate) fn new(initial: T) -> Self {
        Self {
            initial,
            values: HashMap::new(),
            overflow: initial,
        }
    }

    pub(crate) fn get(&self, class: &ClassName) -> &T {
        match self.values.get(class) {
            Some(value) => value,
            None if self.values.len() < MAX_CLASSES => &self.initial,
            None => &self.overflow,
        }
    }

    pub(crate) fn get_mut(&mut self, class: &ClassName) -> &mut T {
        if !self.values.contains_key(class) {
            if self.values.len() >= MAX_CLASSES {
                return &mut self.overflow;
            }
            self.values.insert(class.clone(), self.initial);
        }
        self.values.get_mut(class).unwrap_or(&mut self.overflow)
    }
}
