//! Sets of task indices, stored as ranges.

use std::collections::BTreeMap;

/// An inclusive range of task indices.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TaskRange {
    /// Index of the first task.
    pub first: u32,
    /// Index of the last task.
    pub last: u32,
}

/// A set of task indices. Its size depends on the number of contiguous ranges.
#[derive(Debug, Clone, Default)]
pub(crate) struct TaskSet {
    /// Last index of each range by its first index. Ranges are neither adjacent nor overlapping.
    ranges: BTreeMap<u32, u32>,
}

impl TaskSet {
    pub(crate) const fn new() -> Self {
        Self {
            ranges: BTreeMap::new(),
        }
    }

    pub(crate) fn contains(&self, index: u32) -> bool {
        let before = self.ranges.range(..=index).next_back();
        before.is_some_and(|(_, last)| index <= *last)
    }

    /// Adds an index that must not be in the set yet.
    pub(crate) fn insert(&mut self, index: u32) {
        self.insert_range(TaskRange {
            first: index,
            last: index,
        });
    }

    /// Adds a range. None of its indices may be in the set yet.
    pub(crate) fn insert_range(&mut self, range: TaskRange) {
        let TaskRange {
            mut first,
            mut last,
        } = range;
        if let Some((start, end)) = self.ranges.range(..first).next_back()
            && end.checked_add(1) == Some(first)
        {
            first = *start;
        }
        if let Some(after) = last.checked_add(1)
            && let Some(end) = self.ranges.remove(&after)
        {
            last = end;
        }
        self.ranges.insert(first, last);
    }

    pub(crate) fn ranges(&self) -> impl Iterator<Item = TaskRange> {
        let range = |(first, last): (&u32, &u32)| TaskRange {
            first: *first,
            last: *last,
        };
        self.ranges.iter().map(range)
    }

    /// Returns the ranges of `0..count` that are not in the set.
    pub(crate) fn gaps(&self, count: u32) -> Vec<TaskRange> {
        let mut gaps = Vec::new();
        let mut next = 0;
        for range in self.ranges() {
            if range.first > next {
                gaps.push(TaskRange {
                    first: next,
                    last: range.first - 1,
                });
            }
            next = range.last.saturating_add(1);
        }
        if next < count {
            gaps.push(TaskRange {
                first: next,
                last: count - 1,
            });
        }
        gaps
    }
}
