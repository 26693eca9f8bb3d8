//! A set of task indices kept as ranges.

use std::collections::BTreeMap;
use std::ops::Range;

/// A set of task indices. A job of any number of tasks that wait is one range.
#[derive(Debug, Clone, Default)]
pub struct RangeSet {
    /// Start of each range to its end; ranges neither overlap nor touch.
    spans: BTreeMap<u32, u32>,
    len: u64,
}

impl RangeSet {
    /// The number of indices.
    pub fn len(&self) -> u64 {
        self.len
    }

    /// Whether no index is held.
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Whether `index` is held.
    pub fn contains(&self, index: u32) -> bool {
        self.span_at(index).is_some()
    }

    /// Adds every index of `range`. Returns how many were new.
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

    /// Takes `index` out. Returns whether it was held.
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

    /// Takes the lowest index out.
    pub fn pop_first(&mut self) -> Option<u32> {
        let (&start, _) = self.spans.first_key_value()?;
        self.remove(start);
        Some(start)
    }

    /// The lowest index.
    pub fn first(&self) -> Option<u32> {
        self.spans.first_key_value().map(|(&start, _)| start)
    }

    /// The end of the range that holds `index`.
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
