//! Withdrawal and resumption of whole classes and tags.

use agate_core::{ClassName, Tag};

use super::Queue;

impl Queue {
    /// Withdraws a class: its tasks are not offered.
    pub fn withdraw_class(&mut self, name: &ClassName) {
        let class = self.classes.intern(name);
        self.withdrawn.entry(class).or_default();
    }

    /// Resumes a class.
    pub fn resume_class(&mut self, name: &ClassName) {
        let class = self.classes.intern(name);
        for team in self.withdrawn.remove(&class).unwrap_or_default() {
            self.reorder(team, class);
        }
    }

    /// Withdraws a tag: tasks with the tag are not offered.
    pub fn withdraw_tag(&mut self, tag: &Tag) {
        self.tags.withdraw(tag);
    }

    /// Resumes a tag.
    pub fn resume_tag(&mut self, tag: &Tag) {
        self.tags.resume(tag);
    }
}
