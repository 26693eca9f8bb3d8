//! Answers of the log in JSON, checked before they are used.

use agate_core::Offset;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;

use super::{Entry, Page, StoreError};

/// Answer to an append.
#[derive(Debug, Deserialize)]
struct Appended {
    offset: u64,
}

#[derive(Debug, Deserialize)]
struct EntryBody {
    offset: u64,
    data: String,
}

/// Answer to a read.
#[derive(Debug, Deserialize)]
struct PageBody {
    earliest: u64,
    end: u64,
    entries: Vec<EntryBody>,
}

fn unusable(what: &str) -> StoreError {
    StoreError::Unanswered(format!("unusable answer: {what}"))
}

/// Reads the answer to an append.
pub(crate) fn read_appended(body: &[u8]) -> Result<Offset, StoreError> {
    match serde_json::from_slice(body) {
        Ok(Appended { offset }) if offset > 0 => Ok(Offset(offset)),
        Ok(Appended { .. }) => Err(unusable("offset 0")),
        Err(error) => Err(unusable(&error.to_string())),
    }
}

/// Reads the answer to a read from the offset `from` on.
pub(crate) fn read_page(body: &[u8], from: Offset) -> Result<Page, StoreError> {
    let page: PageBody =
        serde_json::from_slice(body).map_err(|error| unusable(&error.to_string()))?;
    let mut next = Offset(page.earliest).max(from);
    let mut entries = Vec::with_capacity(page.entries.len());
    for entry in page.entries {
        if entry.offset != next.0 || entry.offset > page.end {
            return Err(unusable("an offset that was not asked for"));
        }
        let Ok(data) = STANDARD.decode(&entry.data) else {
            return Err(unusable("data that is not Base64"));
        };
        entries.push(Entry {
            offset: next,
            data: Bytes::from(data),
        });
        next = next.next();
    }
    Ok(Page {
        earliest: Offset(page.earliest),
        end: Offset(page.end),
        entries,
    })
}
