//! Cache of answers for retries, bounded in bytes.

use std::collections::{HashMap, VecDeque};

use agate_core::Key;

/// Answers by key. The oldest are dropped first.
#[derive(Debug)]
pub(crate) struct AnswerCache<A> {
    max_bytes: usize,
    bytes: usize,
    order: VecDeque<Key>,
    entries: HashMap<Key, CachedAnswer<A>>,
}

#[derive(Debug)]
struct CachedAnswer<A> {
    answer: A,
    bytes: usize,
}

impl<A> AnswerCache<A> {
    pub(crate) fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            bytes: 0,
            order: VecDeque::new(),
            entries: HashMap::new(),
        }
    }

    /// Adds an answer of `bytes` bytes, unless it exceeds the limit on its own.
    pub(crate) fn add(&mut self, key: Key, answer: A, bytes: usize) {
        if bytes > self.max_bytes {
            return;
        }
        while self.bytes + bytes > self.max_bytes {
            self.drop_oldest();
        }
        self.bytes += bytes;
        self.order.push_back(key);
        self.entries.insert(key, CachedAnswer { answer, bytes });
    }

    pub(crate) fn get(&self, key: Key) -> Option<&A> {
        self.entries.get(&key).map(|cached| &cached.answer)
    }

    pub(crate) fn remove(&mut self, key: Key) {
        if let Some(cached) = self.entries.remove(&key) {
            self.bytes -= cached.bytes;
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
        if let Some(cached) = self.entries.remove(&key) {
            self.bytes -= cached.bytes;
        }
    }
}
