//! Counts what is read from the log.

use std::sync::Arc;
use std::time::Duration;

use async_trait::async_trait;

use super::{AppendError, Fence, KeyedLog, NewestRecords, Page, ReadError, StoredRecord, Stream};
use crate::metrics::{Metrics, StreamKind};

/// A log whose reads are counted by kind of stream.
#[derive(Debug)]
pub struct MeteredLog {
    log: Arc<dyn KeyedLog>,
    metrics: Arc<Metrics>,
}

impl MeteredLog {
    /// Wraps a log.
    pub const fn new(log: Arc<dyn KeyedLog>, metrics: Arc<Metrics>) -> Self {
        Self { log, metrics }
    }

    fn count(&self, stream: Stream, records: &[StoredRecord]) {
        let bytes = records.iter().map(|r| r.key.len() + r.value.len()).sum();
        self.metrics.count_read(StreamKind::from(stream), bytes);
    }
}

#[async_trait]
impl KeyedLog for MeteredLog {
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
        let page = self.log.read_page(stream, from, wait, max_bytes).await?;
        self.count(stream, &page.records);
        Ok(page)
    }

    async fn newest(&self, stream: Stream) -> Result<NewestRecords, ReadError> {
        let newest = self.log.newest(stream).await?;
        self.count(stream, &newest.records);
        Ok(newest)
    }

    async fn newest_with_prefix(
        &self,
        stream: Stream,
        prefix: &str,
    ) -> Result<NewestRecords, ReadError> {
        let newest = self.log.newest_with_prefix(stream, prefix).await?;
        self.count(stream, &newest.records);
        Ok(newest)
    }
}
