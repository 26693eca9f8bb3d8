//! Compares the queue with a simple model: tasks are never lost, duplicated or offered while
//! withdrawn.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use agate_core::{JobId, Moment, TaskId};
use agate_place::queue::{Peek, Queue, RangeSet};
use proptest::prelude::*;

use crate::support::{at, cases, class, job, tag, team};

const CLASSES: [&str; 3] = ["rebalance", "rerating", "export"];
const TEAMS: [&str; 2] = ["kehilla", "kattegatt"];
const TAGS: [&str; 3] = ["season", "fleet", "draft"];

#[derive(Debug, Clone)]
enum Op {
    Push {
        job: u64,
        tasks: u32,
        class: usize,
        team: usize,
        tags: Vec<usize>,
    },
    Take,
    Requeue,
    RequeueAt(u64),
    Finish,
    Cancel(u64),
    Block,
    Unblock,
    WithdrawClass(usize),
    ResumeClass(usize),
    WithdrawTag(usize),
    ResumeTag(usize),
    Claim(u64, u32),
    Pass(u64),
}

fn ops() -> impl Strategy<Value = Op> {
    let tags = prop::collection::vec(0..TAGS.len(), 0..3);
    prop_oneof![
        4 => (0..12_u64, 1..6_u32, 0..3_usize, 0..2_usize, tags).prop_map(
            |(job, tasks, class, team, tags)| Op::Push { job, tasks, class, team, tags }
        ),
        8 => Just(Op::Take),
        2 => Just(Op::Requeue),
        2 => (1..5_u64).prop_map(Op::RequeueAt),
        3 => Just(Op::Finish),
        1 => (0..12_u64).prop_map(Op::Cancel),
        1 => Just(Op::Block),
        1 => Just(Op::Unblock),
        1 => (0..3_usize).prop_map(Op::WithdrawClass),
        1 => (0..3_usize).prop_map(Op::ResumeClass),
        1 => (0..3_usize).prop_map(Op::WithdrawTag),
        1 => (0..3_usize).prop_map(Op::ResumeTag),
        1 => (0..12_u64, 0..6_u32).prop_map(|(job, index)| Op::Claim(job, index)),
        2 => (1..4_u64).prop_map(Op::Pass),
    ]
}

/// State of a task in the model.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum TaskState {
    Waiting,
    Taken,
}

#[derive(Debug, Default)]
struct Model {
    tasks: BTreeMap<TaskId, TaskState>,
    jobs: BTreeMap<u64, (usize, Vec<usize>)>,
    classes: BTreeSet<usize>,
    tags: BTreeSet<usize>,
    blocked: BTreeSet<u64>,
}

impl Model {
    fn is_withdrawn(&self, job: u64) -> bool {
        let (class, tags) = &self.jobs[&job];
        self.classes.contains(class) || tags.iter().any(|tag| self.tags.contains(tag))
    }

    fn first_taken(&self) -> Option<TaskId> {
        let mut taken = self
            .tasks
            .iter()
            .filter(|(_, spot)| **spot == TaskState::Taken);
        taken.next().map(|(task, _)| *task)
    }

    fn remove_if_done(&mut self, job: JobId) {
        if !self.tasks.keys().any(|task| task.job == job) {
            self.jobs.remove(&job.0);
            self.blocked.remove(&job.0);
        }
    }
}

struct Harness {
    queue: Queue,
    model: Model,
    now: Moment,
}

impl Harness {
    fn new() -> Self {
        Self {
            queue: Queue::new(BTreeMap::new(), Duration::from_mins(5)),
            model: Model::default(),
            now: at(1),
        }
    }

    fn peek(&mut self) -> Peek {
        loop {
            let peek = self.queue.peek(self.now);
            if peek != Peek::Retry {
                return peek;
            }
        }
    }

    fn take(&mut self) -> Option<TaskId> {
        let Peek::Ready(head) = self.peek() else {
            return None;
        };
        let task = self.queue.take(self.now, head.key).unwrap();
        assert_eq!(task, head.task);
        assert_eq!(
            self.model.tasks[&task],
            TaskState::Waiting,
            "{task} was returned twice"
        );
        assert!(!self.model.is_withdrawn(task.job.0), "{task} is withdrawn");
        assert!(!self.model.blocked.contains(&task.job.0));
        self.model.tasks.insert(task, TaskState::Taken);
        Some(task)
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Push {
                job: id,
                tasks,
                class: c,
                team: t,
                tags,
            } => self.push(id, tasks, c, t, &tags),
            Op::Take => {
                self.take();
            }
            Op::Requeue => self.requeue(None),
            Op::RequeueAt(secs) => self.requeue(Some(secs)),
            Op::Finish => self.finish(),
            Op::Cancel(id) => self.cancel(id),
            Op::Block => {
                if let Peek::Ready(head) = self.peek() {
                    self.queue.block(head.key);
                    self.model.blocked.insert(head.task.job.0);
                }
            }
            Op::Unblock => self.unblock(),
            Op::WithdrawClass(c) => {
                self.queue.withdraw_class(&class(CLASSES[c]));
                self.model.classes.insert(c);
            }
            Op::ResumeClass(c) => {
                self.queue.resume_class(&class(CLASSES[c]));
                self.model.classes.remove(&c);
            }
            Op::WithdrawTag(t) => {
                self.queue.withdraw_tag(&tag(TAGS[t]));
                self.model.tags.insert(t);
            }
            Op::ResumeTag(t) => {
                self.queue.resume_tag(&tag(TAGS[t]));
                self.model.tags.remove(&t);
            }
            Op::Claim(id, index) => self.claim(id, index),
            Op::Pass(secs) => self.now = self.now + Duration::from_secs(secs),
        }
    }

    fn push(&mut self, id: u64, tasks: u32, c: usize, t: usize, tags: &[usize]) {
        let mut spec = job(id, tasks);
        spec.class = class(CLASSES[c]);
        spec.team = team(TEAMS[t]);
        let mut tags = tags.to_vec();
        tags.dedup();
        spec.tags = tags.iter().map(|&t| tag(TAGS[t])).collect();
        self.queue.push(self.now, &spec);
        if self.model.jobs.contains_key(&id) {
            return;
        }
        self.model.jobs.insert(id, (c, tags));
        for index in 0..tasks {
            let task = TaskId {
                job: JobId(id),
                index,
            };
            self.model.tasks.insert(task, TaskState::Waiting);
        }
    }

    fn requeue(&mut self, later: Option<u64>) {
        let Some(task) = self.model.first_taken() else {
            return;
        };
        let key = self.queue.job(task.job).unwrap();
        let was_taken = match later {
            None => self.queue.requeue(key, task.index),
            Some(secs) => {
                let due = self.now + Duration::from_secs(secs);
                self.queue.requeue_at(key, task.index, due)
            }
        };
        assert!(was_taken);
        self.model.tasks.insert(task, TaskState::Waiting);
    }

    fn finish(&mut self) {
        let Some(task) = self.model.first_taken() else {
            return;
        };
        let key = self.queue.job(task.job).unwrap();
        self.queue.finish(key, task.index);
        self.model.tasks.remove(&task);
        self.model.remove_if_done(task.job);
    }

    fn cancel(&mut self, id: u64) {
        let was_known = self.queue.cancel(JobId(id));
        assert_eq!(was_known, self.model.jobs.contains_key(&id));
        self.model.tasks.retain(|task, _| task.job != JobId(id));
        self.model.remove_if_done(JobId(id));
    }

    fn unblock(&mut self) {
        let Some(id) = self.model.blocked.pop_first() else {
            return;
        };
        let key = self.queue.job(JobId(id)).unwrap();
        self.queue.unblock(key);
    }

    fn claim(&mut self, id: u64, index: u32) {
        let task = TaskId {
            job: JobId(id),
            index,
        };
        let Some(key) = self.queue.job(JobId(id)) else {
            return;
        };
        if !self.model.tasks.contains_key(&task) {
            return;
        }
        let waited = self.queue.claim(key, index);
        assert_eq!(waited, self.model.tasks[&task] == TaskState::Waiting);
        self.model.tasks.insert(task, TaskState::Taken);
    }

    /// Lifts all withdrawals and blocks, then takes all waiting tasks. Each must come exactly once.
    fn drain(&mut self) {
        for name in CLASSES {
            self.queue.resume_class(&class(name));
        }
        for name in TAGS {
            self.queue.resume_tag(&tag(name));
        }
        self.model.classes.clear();
        self.model.tags.clear();
        while !self.model.blocked.is_empty() {
            self.unblock();
        }
        self.now = self.now + Duration::from_secs(100);
        while self.take().is_some() {}
        let left = self
            .model
            .tasks
            .iter()
            .find(|(_, s)| **s == TaskState::Waiting);
        assert_eq!(left, None, "a task was lost");
    }
}

proptest! {
    #![proptest_config(cases(512))]

    #[test]
    fn the_queue_neither_loses_nor_duplicates_tasks_nor_offers_withdrawn_ones(
        ops in prop::collection::vec(ops(), 1..120)
    ) {
        let mut harness = Harness::new();
        for op in ops {
            harness.apply(op);
        }
        harness.drain();
    }

    #[test]
    fn a_range_set_matches_a_plain_set(
        ops in prop::collection::vec((0..3_u8, 0..40_u32, 0..10_u32), 1..60)
    ) {
        let mut range_set = RangeSet::default();
        let mut plain = BTreeSet::new();
        for (op, start, len) in ops {
            match op {
                0 => {
                    let added = (start..start + len).filter(|i| plain.insert(*i)).count();
                    prop_assert_eq!(range_set.insert(start..start + len), added as u64);
                }
                1 => prop_assert_eq!(range_set.remove(start), plain.remove(&start)),
                _ => prop_assert_eq!(range_set.pop_first(), plain.pop_first()),
            }
            prop_assert_eq!(range_set.len(), plain.len() as u64);
            prop_assert_eq!(range_set.contains(start), plain.contains(&start));
        }
    }
}
