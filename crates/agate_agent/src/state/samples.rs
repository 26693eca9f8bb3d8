//! Buffer of samples to send to every entry.

use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};

use agate_core::Moment;

/// Maximum number of samples kept for entries that have not received them yet.
const MAX_SAMPLES: usize = 512;

/// A sample and the moment on the boot clock at which it was measured.
#[derive(Debug, Clone)]
pub(crate) struct TimedSample<T> {
    pub(crate) measured_at: Moment,
    pub(crate) value: T,
}

/// Position up to which one entry has received the samples.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub(crate) struct Cursor(u64);

/// Samples in the order in which they were taken; the oldest are dropped first.
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

    /// Returns the samples after `cursor` and the cursor that follows them.
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
