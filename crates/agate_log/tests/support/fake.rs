//! An in-memory [`LogStore`] backed by the stand-in log, with faults injected per append.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use agate_core::{Moment, Offset};
use agate_log::{LogEntry, LogStore, Page, StoreError, Stream};
use async_trait::async_trait;
use bytes::Bytes;
use standin_log::{Limits, Log};
use tokio::time::{Instant, sleep};

/// Interval at which a waiting read polls for appends.
const POLL_INTERVAL: Duration = Duration::from_millis(1);

/// A fault that is injected into an append.
#[derive(Debug, Clone)]
pub enum AppendFault {
    /// The append takes effect, but its response is lost.
    LoseResponse,
    /// The append is lost in transit.
    LoseAppend,
    /// The append takes effect after this delay; its response is lost.
    Delay(Duration),
    /// The append is refused.
    Refuse(StoreError),
    /// The append takes effect, its response is lost, and the log goes down.
    LoseResponseAndFail,
}

#[derive(Debug)]
struct Inner {
    log: Log,
    faults: VecDeque<AppendFault>,
    down: bool,
    appends: usize,
    snapshot_bytes: usize,
}

/// An in-memory log store with injectable faults.
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
            faults: VecDeque::new(),
            down: false,
            appends: 0,
            snapshot_bytes: 0,
        };
        Self {
            started: Instant::now(),
            inner: Arc::new(Mutex::new(inner)),
        }
    }

    /// Injects a fault into each of the next appends, in order.
    pub fn inject(&self, faults: impl IntoIterator<Item = AppendFault>) {
        self.lock().faults.extend(faults);
    }

    pub fn go_down(&self) {
        self.lock().down = true;
    }

    pub fn come_back(&self) {
        self.lock().down = false;
    }

    /// Returns the number of append calls.
    pub fn appends(&self) -> usize {
        self.lock().appends
    }

    /// Returns the number of bytes that reads of the snapshot stream have returned.
    pub fn snapshot_bytes(&self) -> usize {
        self.lock().snapshot_bytes
    }

    /// Replaces the log with an empty one.
    pub fn wipe(&self) {
        let limits = Limits {
            retention: Duration::from_mins(1),
            appends_per_second: 1_000,
        };
        self.lock().log = Log::new(limits);
    }

    /// Appends without faults.
    pub fn put(&self, stream: Stream, data: &[u8]) -> Offset {
        let now = self.now();
        let data = Bytes::copy_from_slice(data);
        let appended = self.lock().log.append(stream.into(), data, now);
        appended.expect("the rate limit should not be reached")
    }

    /// Returns the retained contents of a stream, up to the page limit.
    pub fn page(&self, stream: Stream) -> Page {
        self.read_page(stream, Offset(1))
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().expect("the lock should not be poisoned")
    }

    fn now(&self) -> Moment {
        Moment::ZERO + self.started.elapsed()
    }

    fn read_page(&self, stream: Stream, from: Offset) -> Page {
        let now = self.now();
        let page = self.lock().log.read(stream.into(), from, 4_096, now);
        let entry = |entry: standin_log::Entry| LogEntry {
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
        sleep(POLL_INTERVAL).await;
        let fault = {
            let mut inner = self.lock();
            inner.appends += 1;
            if inner.down {
                return Err(unanswered());
            }
            inner.faults.pop_front()
        };
        match fault {
            None => return Ok(self.put(stream, &data)),
            Some(AppendFault::LoseAppend) => {}
            Some(AppendFault::LoseResponse) => {
                self.put(stream, &data);
            }
            Some(AppendFault::LoseResponseAndFail) => {
                self.put(stream, &data);
                self.go_down();
            }
            Some(AppendFault::Refuse(error)) => return Err(error),
            Some(AppendFault::Delay(delay)) => {
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
            let page = self.read_page(stream, from);
            if stream == Stream::Snap {
                let bytes: usize = page.entries.iter().map(|entry| entry.data.len()).sum();
                self.lock().snapshot_bytes += bytes;
            }
            if !page.entries.is_empty() || Instant::now() >= deadline {
                return Ok(page);
            }
            sleep(POLL_INTERVAL).await;
        }
    }
}
