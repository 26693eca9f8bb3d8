//! Withdrawal and resumption in bulk.

use agate_core::{ClassName, Tag};

use super::Queue;

impl Queue {
    /// Withdraws a class: none of its tasks comes up.
    pub fn withdraw_class(&mut self, name: &ClassName) {
        let class = self.classes.intern(name);
        self.withdrawn.entry(class).or_default();
    }

    /// Resumes a class.
    pub fn resume_class(&mut self, name: &ClassName) {
        let class = self.classes.intern(name);
        for team in self.withdrawn.remove(&class).unwrap_or_default() {
            self.relist(team, class);
        }
    }

    /// Withdraws a tag: none of the tasks that bear it comes up.
    pub fn withdraw_tag(&mut self, tag: &Tag) {
        self.tags.withdraw(tag);
    }

    /// Resumes a tag.
    pub fn resume_tag(&mut self, tag: &Tag) {
        self.tags.resume(tag);
    }
}
