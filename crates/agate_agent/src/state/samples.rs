//! Lagging readings that wait to be sent to every entry.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use agate_core::Moment;

/// Readings kept for entries that have not been told yet.
const MAX_SAMPLES: usize = 512;

/// A reading and when it was measured, on the boot clock.
#[derive(Debug, Clone)]
pub(crate) struct Timed<T> {
    pub(crate) measured: Moment,
    pub(crate) value: T,
}

/// How far one entry has been told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Cursor(u64);

/// Readings in the order in which they were taken; the oldest are dropped first.
#[derive(Debug)]
pub(crate) struct Samples<T>(Mutex<Inner<T>>);

#[derive(Debug)]
struct Inner<T> {
    next: u64,
    kept: VecDeque<Timed<T>>,
}

impl<T: Clone> Samples<T> {
    pub(crate) fn new() -> Self {
        Self(Mutex::new(Inner {
            next: 0,
            kept: VecDeque::new(),
        }))
    }

    pub(crate) fn push(&self, measured: Moment, value: T) {
        let mut inner = self.lock();
        if inner.kept.len() == MAX_SAMPLES {
            inner.kept.pop_front();
        }
        inner.kept.push_back(Timed { measured, value });
        inner.next += 1;
    }

    /// The readings after `cursor`, and the cursor after them.
    pub(crate) fn since(&self, cursor: Cursor) -> (Vec<Timed<T>>, Cursor) {
        let inner = self.lock();
        let missing = usize::try_from(inner.next - cursor.0).unwrap_or(usize::MAX);
        let skip = inner.kept.len().saturating_sub(missing);
        let samples = inner.kept.iter().skip(skip).cloned().collect();
        (samples, Cursor(inner.next))
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
