//! A set of task indices stored as ranges.

use std::collections::BTreeMap;
use std::ops::Range;

/// A set of task indices. The waiting tasks of a job are usually a single range, whatever their
/// number.
#[derive(Debug, Clone, Default)]
pub struct RangeSet {
    /// Maps the start of each range to its end. Ranges neither overlap nor touch.
    spans: BTreeMap<u32, u32>,
    len: u64,
}

impl RangeSet {
    /// Returns the number of indices.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether the set contains `index`.
    pub fn contains(&self, index: u32) -> bool {
        self.span_at(index).is_some()
    }

    /// Adds all indices of `range`. Returns how many were new.
    pub fn insert(&mut self, range: Range<u32>) -> u64 {
        if range.is_empty() {
            return 0;
        }
        let before = self.len;
        let (mut start, mut end) = (range.start, range.end);
        while let Some((s, e)) = self.touching(start, end) {
            self.spans.remove(&s);
            self.len -= u64::from(e - s);
            start = start.min(s);
            end = end.max(e);
        }
        self.spans.insert(start, end);
        self.len += u64::from(end - start);
        self.len - before
    }

    /// Removes `index`. Returns whether the set contained it.
    pub fn remove(&mut self, index: u32) -> bool {
        let Some((start, end)) = self.span_at(index) else {
            return false;
        };
        self.spans.remove(&start);
        if start < index {
            self.spans.insert(start, index);
        }
        if index + 1 < end {
            self.spans.insert(index + 1, end);
        }
        self.len -= 1;
        true
    }

    /// Removes and returns the lowest index.
    pub fn pop_first(&mut self) -> Option<u32> {
        let (&start, _) = self.spans.first_key_value()?;
        self.remove(start);
        Some(start)
    }

    /// Returns the lowest index.
    pub fn first(&self) -> Option<u32> {
        self.spans.first_key_value().map(|(&start, _)| start)
    }

    /// Returns the end of the range that contains `index`.
    pub(super) fn end_at(&self, index: u32) -> Option<u32> {
        self.span_at(index).map(|(_, end)| end)
    }

    fn span_at(&self, index: u32) -> Option<(u32, u32)> {
        let (&start, &end) = self.spans.range(..=index).next_back()?;
        (index < end).then_some((start, end))
    }

    fn touching(&self, start: u32, end: u32) -> Option<(u32, u32)> {
        let (&s, &e) = self.spans.range(..=end).next_back()?;
        (e >= start).then_some((s, e))
    }
}
