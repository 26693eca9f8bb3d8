//! Withdrawn tags and the jobs parked under them.

use std::collections::{HashMap, VecDeque};

use agate_core::Tag;
use slotmap::{SlotMap, new_key_type};

use super::job::JobKey;

new_key_type! {
    /// A tag that a job has or that is withdrawn.
    pub(crate) struct TagKey;
}

#[derive(Debug)]
struct TagEntry {
    name: Tag,
    /// Number of jobs with the tag.
    job_count: usize,
    withdrawn: bool,
    parked: Vec<JobKey>,
}

/// Withdrawal state of tags. Withdrawing and resuming take constant time: jobs are parked only when
/// they reach the head of the queue, and return a few at a time.
#[derive(Debug, Default)]
pub(crate) struct Withdrawals {
    tags: SlotMap<TagKey, TagEntry>,
    by_name: HashMap<Tag, TagKey>,
    resumed: VecDeque<Vec<JobKey>>,
}

impl Withdrawals {
    /// Counts a job with `tag`.
    pub(crate) fn add_job(&mut self, tag: &Tag) -> TagKey {
        let key = self.intern(tag);
        self.tags[key].job_count += 1;
        key
    }

    /// Removes a job from the count of the tag.
    pub(crate) fn remove_job(&mut self, key: TagKey) {
        let Some(entry) = self.tags.get_mut(key) else {
            return;
        };
        entry.job_count -= 1;
        self.remove_if_unused(key);
    }

    /// Withdraws a tag.
    pub(crate) fn withdraw(&mut self, tag: &Tag) {
        let key = self.intern(tag);
        self.tags[key].withdrawn = true;
    }

    /// Resumes a tag. Its parked jobs then return a few at a time.
    pub(crate) fn resume(&mut self, tag: &Tag) {
        let Some(&key) = self.by_name.get(tag) else {
            return;
        };
        let entry = &mut self.tags[key];
        entry.withdrawn = false;
        let parked = std::mem::take(&mut entry.parked);
        if !parked.is_empty() {
            self.resumed.push_back(parked);
        }
        self.remove_if_unused(key);
    }

    /// Returns the first withdrawn tag among `tags`.
    pub(crate) fn first_withdrawn(&self, tags: &[TagKey]) -> Option<TagKey> {
        let is_withdrawn = |key: &TagKey| self.tags.get(*key).is_some_and(|t| t.withdrawn);
        tags.iter().copied().find(is_withdrawn)
    }

    /// Parks a job under a withdrawn tag.
    pub(crate) fn park(&mut self, tag: TagKey, job: JobKey) {
        self.tags[tag].parked.push(job);
    }

    /// Returns the next parked job of a resumed tag.
    pub(crate) fn next_resumed(&mut self) -> Option<JobKey> {
        let batch = self.resumed.front_mut()?;
        let job = batch.pop();
        if batch.is_empty() {
            self.resumed.pop_front();
        }
        job
    }

    fn intern(&mut self, tag: &Tag) -> TagKey {
        if let Some(&key) = self.by_name.get(tag) {
            return key;
        }
        let key = self.tags.insert(TagEntry {
            name: tag.clone(),
            job_count: 0,
            withdrawn: false,
            parked: Vec::new(),
        });
        self.by_name.insert(tag.clone(), key);
        key
    }

    /// Removes a tag that no job has and that is not withdrawn.
    fn remove_if_unused(&mut self, key: TagKey) {
        let entry = &self.tags[key];
        if entry.job_count > 0 || entry.withdrawn {
            return;
        }
        if let Some(entry) = self.tags.remove(key) {
            self.by_name.remove(&entry.name);
        }
    }
}
