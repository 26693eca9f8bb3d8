//! The rules of the stand-in behind [`LogStore`] without a network, with faults call by call.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use agate_core::{Moment, Offset};
use agate_log::{Entry, LogStore, Page, StoreError, Stream};
use async_trait::async_trait;
use bytes::Bytes;
use standin_log::{Limits, Log};
use tokio::time::{Instant, sleep};

/// Pause between two looks of a waiting read.
const POLL: Duration = Duration::from_millis(1);

/// What happens to one append.
#[derive(Debug, Clone)]
pub enum Step {
    /// It takes effect, and its answer is lost.
    LoseAnswer,
    /// It is lost on its way.
    LoseAppend,
    /// It takes effect after this time; its caller is told nothing.
    Delay(Duration),
    /// It is refused.
    Refuse(StoreError),
    /// It takes effect, its answer is lost, and the log goes down.
    LoseAnswerAndFail,
}

#[derive(Debug)]
struct Inner {
    log: Log,
    steps: VecDeque<Step>,
    down: bool,
    appends: usize,
}

/// A store in memory.
#[derive(Debug, Clone)]
pub struct FakeStore {
    started: Instant,
    inner: Arc<Mutex<Inner>>,
}

fn unanswered() -> StoreError {
    StoreError::Unanswered("fault".to_owned())
}

impl FakeStore {
    pub fn new(retention: Duration) -> Self {
        let limits = Limits {
            retention,
            appends_per_second: 1_000_000,
        };
        let inner = Inner {
            log: Log::new(limits),
            steps: VecDeque::new(),
            down: false,
            appends: 0,
        };
        Self {
            started: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// What happens to the next appends.
    pub fn script(&self, steps: impl IntoIterator<Item = Step>) {
        self.lock().steps.extend(steps);
    }

    pub fn go_down(&self) {
        self.lock().down = true;
    }

    pub fn come_back(&self) {
        self.lock().down = false;
    }

    /// Appends that were called.
    pub fn appends(&self) -> usize {
        self.lock().appends
    }

    /// Replaces the log by an empty one.
    pub fn wipe(&self) {
        let limits = Limits {
            retention: Duration::from_mins(1),
            appends_per_second: 1_000,
        };
        self.lock().log = Log::new(limits);
    }

    /// Appends without any fault.
    pub fn put(&self, stream: Stream, data: &[u8]) -> Offset {
        let now = self.now();
        let data = Bytes::copy_from_slice(data);
        let appended = self.lock().log.append(stream.into(), data, now);
        appended.expect("the limit is high")
    }

    /// Everything that a stream holds.
    pub fn page(&self, stream: Stream) -> Page {
        self.look(stream, Offset(1))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("no case panics while it holds it")
    }

    fn now(&self) -> Moment {
        Moment::ZERO + self.started.elapsed()
    }

    fn look(&self, stream: Stream, from: Offset) -> Page {
        let now = self.now();
        let page = self.lock().log.read(stream.into(), from, 4_096, now);
        let entry = |entry: standin_log::Entry| Entry {
            offset: entry.offset,
            data: entry.data,
        };
        Page {
            earliest: page.earliest,
            end: page.end,
            entries: page.entries.into_iter().map(entry).collect(),
        }
    }
}

#[async_trait]
impl LogStore for FakeStore {
    async fn append(&self, stream: Stream, data: Bytes) -> Result<Offset, StoreError> {
        sleep(POLL).await;
        let step = {
            let mut inner = self.lock();
            inner.appends += 1;
            if inner.down {
                return Err(unanswered());
            }
            inner.steps.pop_front()
        };
        match step {
            None => return Ok(self.put(stream, &data)),
            Some(Step::LoseAppend) => {}
            Some(Step::LoseAnswer) => {
                self.put(stream, &data);
            }
            Some(Step::LoseAnswerAndFail) => {
                self.put(stream, &data);
                self.go_down();
            }
            Some(Step::Refuse(error)) => return Err(error),
            Some(Step::Delay(delay)) => {
                let store = self.clone();
                tokio::spawn(async move {
                    sleep(delay).await;
                    store.put(stream, &data);
                });
            }
        }
        Err(unanswered())
    }

    async fn read(&self, stream: Stream, from: Offset, wait: Duration) -> Result<Page, StoreError> {
        let deadline = Instant::now() + wait;
        loop {
            if self.lock().down {
                return Err(unanswered());
            }
            let page = self.look(stream, from);
            if !page.entries.is_empty() || Instant::now() >= deadline {
                return Ok(page);
            }
            sleep(POLL).await;
        }
    }
}
