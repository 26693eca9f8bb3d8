//! Lagging readings that wait to be sent to every entry.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use agate_core::Moment;

/// Readings buffer for entries that have not been told yet.
const MAX_SAMPLES: usize = 512;

/// A reading and when it was measured_at, on the boot clock.
#[derive(Debug, Clone)]
pub(crate) struct TimedSample<T> {
    pub(crate) measured_at: Moment,
    pub(crate) value: T,
}

/// How far one entry has been told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Cursor(u64);

/// Readings in the order in which they were taken; the oldest are dropped first.
#[derive(Debug)]
pub(crate) struct SampleBuffer<T>(Mutex<Inner<T>>);

#[derive(Debug)]
struct Inner<T> {
    next: u64,
    buffer: VecDeque<TimedSample<T>>,
}

impl<T: Clone> SampleBuffer<T> {
    pub(crate) fn new() -> Self {
        Self(Mutex::new(Inner {
            next: 0,
            buffer: VecDeque::new(),
        }))
    }

    pub(crate) fn push(&self, measured_at: Moment, value: T) {
        let mut inner = self.lock();
        if inner.buffer.len() == MAX_SAMPLES {
            inner.buffer.pop_front();
        }
        inner.buffer.push_back(TimedSample { measured_at, value });
        inner.next += 1;
    }

    /// The readings after `cursor`, and the cursor after them.
    pub(crate) fn since(&self, cursor: Cursor) -> (Vec<TimedSample<T>>, Cursor) {
        let inner = self.lock();
        let unsent = usize::try_from(inner.next - cursor.0).unwrap_or(usize::MAX);
        let skip = inner.buffer.len().saturating_sub(unsent);
        let samples = inner.buffer.iter().skip(skip).cloned().collect();
        (samples, Cursor(inner.next))
    }

    fn lock(&self) -> MutexGuard<'_, Inner<T>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
