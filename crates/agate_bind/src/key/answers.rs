//! Answers kept for retries, bounded in bytes.

use std::collections::{HashMap, VecDeque};

use agate_core::Key;

/// Answers by key; the oldest are dropped first.
#[derive(Debug)]
pub(crate) struct Answers<A> {
    limit: usize,
    bytes: usize,
    order: VecDeque<Key>,
    kept: HashMap<Key, Kept<A>>,
}

#[derive(Debug)]
struct Kept<A> {
    answer: A,
    bytes: usize,
}

impl<A> Answers<A> {
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            bytes: 0,
            order: VecDeque::new(),
            kept: HashMap::new(),
        }
    }

    /// Keeps an answer of `bytes` bytes, unless it alone is larger than the limit.
    pub(crate) fn keep(&mut self, key: Key, answer: A, bytes: usize) {
        if bytes > self.limit {
            return;
        }
        while self.bytes + bytes > self.limit {
            self.drop_oldest();
        }
        self.bytes += bytes;
        self.order.push_back(key);
        self.kept.insert(key, Kept { answer, bytes });
    }

    pub(crate) fn get(&self, key: Key) -> Option<&A> {
        self.kept.get(&key).map(|kept| &kept.answer)
    }

    pub(crate) fn remove(&mut self, key: Key) {
        if let Some(kept) = self.kept.remove(&key) {
            self.bytes -= kept.bytes;
            self.order.retain(|other| *other != key);
        }
    }

    pub(crate) const fn bytes(&self) -> usize {
        self.bytes
    }

    fn drop_oldest(&mut self) {
        let Some(key) = self.order.pop_front() else {
            return;
        };
        if let Some(kept) = self.kept.remove(&key) {
            self.bytes -= kept.bytes;
        }
    }
}
