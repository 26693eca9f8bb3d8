//! Requests pages of a size that the link to the log carries in time.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use agate_core::{PageResult, PageSize};
use async_trait::async_trait;
use tokio::time::Instant;

use super::{AppendError, Fence, KeyedLog, NewestRecords, Page, ReadError, Stream};
use crate::metrics::Metrics;

/// Duration of a failed read, beyond its wait for records, from which it counts as timed out.
const TIMED_OUT_AFTER: Duration = Duration::from_millis(500);

/// A log whose pages have a size that depends on the results of earlier reads. All streams share it, as
/// they share the link.
#[derive(Debug)]
pub struct PagedLog {
    log: Arc<dyn KeyedLog>,
    metrics: Arc<Metrics>,
    size: Mutex<PageSize>,
}

impl PagedLog {
    /// Wraps a log.
    pub fn new(log: Arc<dyn KeyedLog>, metrics: Arc<Metrics>) -> Self {
        let size = PageSize::default();
        metrics.set_page_bytes(size.bytes());
        Self {
            log,
            metrics,
            size: Mutex::new(size),
        }
    }

    fn record(&self, result: PageResult) {
        let mut size = self.size();
        size.record(result);
        self.metrics.set_page_bytes(size.bytes());
    }

    fn size(&self) -> MutexGuard<'_, PageSize> {
        self.size.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Returns how many bytes to request from a stream. A configuration is a single record, often larger than a
/// page, so that a limit would only cost another call, unless several of them arrive too slowly.
fn page_bytes(stream: Stream, size: usize) -> usize {
    match stream {
        Stream::Config if size >= PageSize::default().bytes() => PageSize::MAX_BYTES,
        Stream::Config | Stream::Main | Stream::Orders(_) => size,
    }
}

/// Returns what a read that took this long tells about the size of its page.
fn page_result(
    result: &Result<Page, ReadError>,
    from: u64,
    wait: Duration,
    took: Duration,
) -> Option<PageResult> {
    match result {
        Ok(page) if from + page.records.len() as u64 >= page.end => Some(PageResult::Last),
        Ok(_) => Some(PageResult::Full(took)),
        Err(ReadError::Unavailable(_)) => {
            (took >= wait + TIMED_OUT_AFTER).then_some(PageResult::TimedOut)
        }
        Err(ReadError::Deleted) => None,
    }
}

#[async_trait]
impl KeyedLog for PagedLog {
    fn order_streams(&self) -> u16 {
        self.log.order_streams()
    }

    fn is_relayed(&self) -> bool {
        self.log.is_relayed()
    }

    async fn append(
        &self,
        stream: Stream,
        records: &[(String, Vec<u8>)],
        fence: Option<Fence>,
    ) -> Result<u64, AppendError> {
        self.log.append(stream, records, fence).await
    }

    async fn read_page(
        &self,
        stream: Stream,
        from: u64,
        wait: Duration,
        max_bytes: usize,
    ) -> Result<Page, ReadError> {
        let began = Instant::now();
        let size = self.size().bytes();
        let bytes = page_bytes(stream, size).min(max_bytes);
        let result = self.log.read_page(stream, from, wait, bytes);
        let result = result.await;
        match page_result(&result, from, wait, began.elapsed()) {
            // A page that the caller limits tells nothing about larger ones.
            Some(PageResult::Full(_)) if max_bytes < size => {}
            Some(result) => self.record(result),
            None => {}
        }
        match result {
            // The next record alone is larger than the page.
            Ok(page) if page.records.is_empty() && page.end > from => {
                self.log.read(stream, from, Duration::ZERO).await
            }
            result => result,
        }
    }

    async fn newest(&self, stream: Stream) -> Result<NewestRecords, ReadError> {
        self.log.newest(stream).await
    }

    async fn newest_with_prefix(
        &self,
        stream: Stream,
        prefix: &str,
    ) -> Result<NewestRecords, ReadError> {
        self.log.newest_with_prefix(stream, prefix).await
    }
}
