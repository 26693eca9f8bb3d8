//! Withdrawn tags and the jobs parked under them.

use std::collections::{HashMap, VecDeque};

use agate_core::Tag;
use slotmap::{SlotMap, new_key_type};

use super::job::JobKey;

new_key_type! {
    /// A tag that a job bears or that is withdrawn.
    pub(crate) struct TagKey;
}

#[derive(Debug)]
struct TagEntry {
    name: Tag,
    /// Jobs that bear the tag.
    bearers: usize,
    withdrawn: bool,
    parked: Vec<JobKey>,
}

/// Which tags are withdrawn. Withdrawal and resumption cost the same whatever waits: jobs are parked
/// when they come up, and go back a few at a time.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    tags: SlotMap<TagKey, TagEntry>,
    by_name: HashMap<Tag, TagKey>,
    returning: VecDeque<Vec<JobKey>>,
}

impl Withdrawals {
    /// Counts one more job with `tag`.
    pub(crate) fn bear(&mut self, tag: &Tag) -> TagKey {
        let key = self.intern(tag);
        self.tags[key].bearers += 1;
        key
    }

    /// Counts one job less with the tag.
    pub(crate) fn unbear(&mut self, key: TagKey) {
        let Some(entry) = self.tags.get_mut(key) else {
            return;
        };
        entry.bearers -= 1;
        self.tidy(key);
    }

    /// Withdraws a tag.
    pub(crate) fn withdraw(&mut self, tag: &Tag) {
        let key = self.intern(tag);
        self.tags[key].withdrawn = true;
    }

    /// Resumes a tag; its parked jobs start on their way back.
    pub(crate) fn resume(&mut self, tag: &Tag) {
        let Some(&key) = self.by_name.get(tag) else {
            return;
        };
        let entry = &mut self.tags[key];
        entry.withdrawn = false;
        let parked = std::mem::take(&mut entry.parked);
        if !parked.is_empty() {
            self.returning.push_back(parked);
        }
        self.tidy(key);
    }

    /// The first withdrawn tag among `tags`.
    pub(crate) fn withdrawn(&self, tags: &[TagKey]) -> Option<TagKey> {
        let is_withdrawn = |key: &TagKey| self.tags.get(*key).is_some_and(|t| t.withdrawn);
        tags.iter().copied().find(is_withdrawn)
    }

    /// Parks a job under a withdrawn tag.
    pub(crate) fn park(&mut self, tag: TagKey, job: JobKey) {
        self.tags[tag].parked.push(job);
    }

    /// Takes one job that is on its way back.
    pub(crate) fn next_returning(&mut self) -> Option<JobKey> {
        let batch = self.returning.front_mut()?;
        let job = batch.pop();
        if batch.is_empty() {
            self.returning.pop_front();
        }
        job
    }

    fn intern(&mut self, tag: &Tag) -> TagKey {
        if let Some(&key) = self.by_name.get(tag) {
            return key;
        }
        let key = self.tags.insert(TagEntry {
            name: tag.clone(),
            bearers: 0,
            withdrawn: false,
            parked: Vec::new(),
        });
        self.by_name.insert(tag.clone(), key);
        key
    }

    /// Forgets a tag that nobody bears and that is not withdrawn.
    fn tidy(&mut self, key: TagKey) {
        let entry = &self.tags[key];
        if entry.bearers > 0 || entry.withdrawn {
            return;
        }
        if let Some(entry) = self.tags.remove(key) {
            self.by_name.remove(&entry.name);
        }
    }
}
