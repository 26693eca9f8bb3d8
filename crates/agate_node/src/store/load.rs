//! A load of the newest records in several pages.

use std::time::Duration;

use tokio::time::Instant;

use super::{NewestRecords, StoredRecord};

/// Time after which the pages of an unfinished load are dropped. Reads continue at the load's end, which the
/// log keeps for 20 s.
const MAX_AGE: Duration = Duration::from_secs(10);

/// Pages that have arrived. If a page fails, the next attempt continues after them.
#[derive(Debug)]
pub struct Load {
    began: Instant,
    end: u64,
    records: Vec<StoredRecord>,
    cursor: Option<String>,
}

impl Load {
    /// Creates a load from its first page: the end of the stream, the records, and the key after which the
    /// next page begins, if there is one.
    pub fn new(end: u64, records: Vec<StoredRecord>, cursor: Option<String>) -> Self {
        Self {
            began: Instant::now(),
            end,
            records,
            cursor,
        }
    }

    /// Adds a page.
    pub fn add(&mut self, records: Vec<StoredRecord>, cursor: Option<String>) {
        self.records.extend(records);
        self.cursor = cursor;
    }

    /// Returns the key after which the next page begins.
    pub fn cursor(&self) -> Option<&str> {
        self.cursor.as_deref()
    }

    /// Returns whether the load may still be continued.
    pub fn is_current(&self) -> bool {
        self.began.elapsed() < MAX_AGE
    }

    /// Returns the records. The pages are not a consistent snapshot: only records before the end that the
    /// first page reports are returned. Later ones are left to reads.
    pub fn finish(mut self) -> NewestRecords {
        let end = self.end;
        self.records.retain(|record| record.offset < end);
        self.records.sort_by_key(|record| record.offset);
        NewestRecords {
            records: self.records,
            end,
        }
    }
}
