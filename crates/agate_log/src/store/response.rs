//! Parses and validates JSON responses of the log.

use agate_core::Offset;
use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Deserialize;

use super::{LogEntry, Page, StoreError};

/// Response to an append.
#[derive(Debug, Deserialize)]
struct AppendResponse {
    offset: u64,
}

#[derive(Debug, Deserialize)]
struct EntryJson {
    offset: u64,
    data: String,
}

/// Response to a read.
#[derive(Debug, Deserialize)]
struct PageJson {
    earliest: u64,
    end: u64,
    entries: Vec<EntryJson>,
}

fn invalid_response(reason: &str) -> StoreError {
    StoreError::Unanswered(format!("invalid response: {reason}"))
}

/// Parses the response to an append.
pub(crate) fn parse_append_response(body: &[u8]) -> Result<Offset, StoreError> {
    match serde_json::from_slice(body) {
        Ok(AppendResponse { offset: 0 }) => Err(invalid_response("offset 0")),
        Ok(AppendResponse { offset: u64::MAX }) => {
            Err(invalid_response("the offset has no next one"))
        }
        Ok(AppendResponse { offset }) => Ok(Offset(offset)),
        Err(error) => Err(invalid_response(&error.to_string())),
    }
}

/// Parses the response to a read from the offset `from`.
pub(crate) fn parse_page(body: &[u8], from: Offset) -> Result<Page, StoreError> {
    let page: PageJson =
        serde_json::from_slice(body).map_err(|error| invalid_response(&error.to_string()))?;
    if page.end == u64::MAX {
        return Err(invalid_response("the end has no next offset"));
    }
    if page.earliest > page.end + 1 {
        return Err(invalid_response("the oldest append is past the end"));
    }
    if page.entries.is_empty() && (page.earliest..=page.end).contains(&from.0) {
        return Err(invalid_response("the requested append is missing"));
    }
    let mut next = Offset(page.earliest).max(from);
    let mut entries = Vec::with_capacity(page.entries.len());
    for entry in page.entries {
        if entry.offset != next.0 || entry.offset > page.end {
            return Err(invalid_response("unexpected offset"));
        }
        let Ok(data) = STANDARD.decode(&entry.data) else {
            return Err(invalid_response("data is not valid Base64"));
        };
        entries.push(LogEntry {
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
