//! Requests and responses between a process and its relay.

use std::time::Duration;

use super::codec::{
    DecodeError, EncodeError, decode_offset, decode_records, decode_stored, encode_records,
    encode_stored,
};
use crate::store::{AppendError, ReadError, StoredRecord, Stream};

/// Status codes of responses.
pub mod status {
    /// The call succeeded.
    pub const OK: u16 = 200;
    /// The request is malformed; nothing was done.
    pub const MALFORMED: u16 = 400;
    /// There is no such call; nothing was done.
    pub const NO_SUCH_CALL: u16 = 404;
    /// The records at the requested offset have been deleted.
    pub const DELETED: u16 = 410;
    /// The request is too long; nothing was done.
    pub const TOO_LONG: u16 = 413;
    /// The log rejected the append because too many are queued, whoever makes them.
    pub const QUEUE_FULL: u16 = 429;
    /// Nothing was done.
    pub const UNAVAILABLE: u16 = 503;
    /// It is not known whether the records were appended.
    pub const UNKNOWN: u16 = 504;
}

const APPEND_PATH: &str = "/relay/append";
const READ_PATH: &str = "/relay/read";
const NEWEST_PATH: &str = "/relay/newest";

/// Method of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "UPPERCASE")]
pub enum Method {
    /// Changes nothing.
    Get,
    /// Appends records.
    Post,
}

/// A request to a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayRequest {
    /// The method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// The body.
    pub body: Vec<u8>,
}

/// A relay's response.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayResponse {
    /// One of [`status`].
    pub status: u16,
    /// Result or cause.
    pub body: Vec<u8>,
}

impl RelayResponse {
    /// Returns a response that states why the call failed.
    pub fn failure(status: u16, cause: &(impl ToString + ?Sized)) -> Self {
        let body = cause.to_string().into_bytes();
        Self { status, body }
    }

    fn cause(&self) -> String {
        let text = String::from_utf8_lossy(&self.body);
        format!("status {}: {text}", self.status)
    }
}

/// A call to the log, as decoded from a request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// An unfenced append.
    Append {
        /// The stream.
        stream: Stream,
        /// Keys and values.
        records: Vec<(String, Vec<u8>)>,
    },
    /// A read from an offset on.
    Read {
        /// The stream.
        stream: Stream,
        /// The offset.
        from: u64,
        /// Longest wait for a record.
        wait: Duration,
    },
    /// A read of the newest record of each key.
    Newest {
        /// The stream.
        stream: Stream,
    },
    /// A read of the newest record of each key that begins with a prefix.
    NewestWithPrefix {
        /// The stream.
        stream: Stream,
        /// The prefix.
        prefix: String,
    },
}

/// Encodes an unfenced append.
///
/// # Errors
///
/// Returns [`EncodeError`] if a record is too long.
pub fn append_request(
    stream: Stream,
    records: &[(String, Vec<u8>)],
) -> Result<RelayRequest, EncodeError> {
    Ok(RelayRequest {
        method: Method::Post,
        target: format!("{APPEND_PATH}?stream={}", stream_name(stream)),
        body: encode_records(records)?,
    })
}

/// Encodes a read.
pub fn read_request(stream: Stream, from: u64, wait: Duration) -> RelayRequest {
    let (name, wait) = (stream_name(stream), wait.as_millis());
    get(format!(
        "{READ_PATH}?stream={name}&from={from}&wait-ms={wait}"
    ))
}

/// Encodes a read of the newest records.
pub fn newest_request(stream: Stream) -> RelayRequest {
    get(format!("{NEWEST_PATH}?stream={}", stream_name(stream)))
}

/// Encodes a read of the newest records whose keys begin with a prefix.
pub fn prefix_request(stream: Stream, prefix: &str) -> RelayRequest {
    get(format!(
        "{NEWEST_PATH}?stream={}&prefix={prefix}",
        stream_name(stream)
    ))
}

fn get(target: String) -> RelayRequest {
    RelayRequest {
        method: Method::Get,
        target,
        body: Vec::new(),
    }
}

/// Decodes a request.
///
/// # Errors
///
/// Returns the response to a request that is malformed or names no call.
pub fn decode_call(request: &RelayRequest) -> Result<Call, RelayResponse> {
    let (path, query) = request
        .target
        .split_once('?')
        .unwrap_or((&request.target, ""));
    let decoded = match (request.method, path) {
        (Method::Post, APPEND_PATH) => decode_append_call(query, &request.body),
        (Method::Get, READ_PATH) => decode_read_call(query),
        (Method::Get, NEWEST_PATH) => decode_newest_call(query),
        _ => return Err(RelayResponse::failure(status::NO_SUCH_CALL, "no such call")),
    };
    decoded.map_err(|error| RelayResponse::failure(status::MALFORMED, &error))
}

/// Decodes an append. A condition in a further parameter, such as an epoch, must not be ignored.
fn decode_append_call(query: &str, body: &[u8]) -> Result<Call, DecodeError> {
    if query.contains('&') {
        return Err(DecodeError("an append has no parameter but the stream"));
    }
    Ok(Call::Append {
        stream: stream(query)?,
        records: decode_records(body)?,
    })
}

fn decode_read_call(query: &str) -> Result<Call, DecodeError> {
    let from = number(query, "from")?.ok_or(DecodeError("the offset is missing"))?;
    let wait = number(query, "wait-ms")?.unwrap_or(0);
    Ok(Call::Read {
        stream: stream(query)?,
        from,
        wait: Duration::from_millis(wait),
    })
}

fn decode_newest_call(query: &str) -> Result<Call, DecodeError> {
    let stream = stream(query)?;
    Ok(match parameter(query, "prefix") {
        Some(prefix) => Call::NewestWithPrefix {
            stream,
            prefix: prefix.to_owned(),
        },
        None => Call::Newest { stream },
    })
}

fn stream_name(stream: Stream) -> String {
    match stream {
        Stream::Main => "main".to_owned(),
        Stream::Config => "config".to_owned(),
        Stream::Orders(number) => format!("orders-{number}"),
    }
}

fn stream(query: &str) -> Result<Stream, DecodeError> {
    let name = parameter(query, "stream").ok_or(DecodeError("the stream is missing"))?;
    match name {
        "main" => Ok(Stream::Main),
        "config" => Ok(Stream::Config),
        _ => {
            let number = name
                .strip_prefix("orders-")
                .and_then(|text| text.parse().ok());
            number
                .map(Stream::Orders)
                .ok_or(DecodeError("there is no such stream"))
        }
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs.find(|(key, _)| *key == name).map(|(_, value)| value)
}

fn number(query: &str, name: &str) -> Result<Option<u64>, DecodeError> {
    let Some(text) = parameter(query, name) else {
        return Ok(None);
    };
    let number = text.parse();
    number
        .map(Some)
        .map_err(|_text| DecodeError("a parameter is not a number"))
}

/// Encodes the result of an append.
pub fn append_response(result: &Result<u64, AppendError>) -> RelayResponse {
    match result {
        Ok(end) => RelayResponse {
            status: status::OK,
            body: end.to_be_bytes().to_vec(),
        },
        Err(AppendError::Unknown(cause)) => RelayResponse::failure(status::UNKNOWN, cause),
        Err(error) => RelayResponse::failure(status::UNAVAILABLE, error),
    }
}

/// Decodes the result of an append. A response that can't be decoded means that the result is
/// unknown.
///
/// # Errors
///
/// Returns the error of the append.
pub fn decode_append(response: &RelayResponse) -> Result<u64, AppendError> {
    match response.status {
        status::OK => {
            decode_offset(&response.body).map_err(|error| AppendError::Unknown(error.to_string()))
        }
        status::MALFORMED
        | status::NO_SUCH_CALL
        | status::TOO_LONG
        | status::QUEUE_FULL
        | status::UNAVAILABLE => Err(AppendError::NotDone(response.cause())),
        _ => Err(AppendError::Unknown(response.cause())),
    }
}

/// Encodes the result of a read.
pub fn read_response(result: Result<(&[StoredRecord], u64), &ReadError>) -> RelayResponse {
    match result {
        Ok((records, end)) => match encode_stored(records, end) {
            Ok(body) => RelayResponse {
                status: status::OK,
                body,
            },
            Err(error) => RelayResponse::failure(status::UNAVAILABLE, &error),
        },
        Err(ReadError::Deleted) => RelayResponse::failure(status::DELETED, "deleted"),
        Err(ReadError::Unavailable(cause)) => RelayResponse::failure(status::UNAVAILABLE, cause),
    }
}

/// Decodes the result of a read: records and the offset after them.
///
/// # Errors
///
/// Returns the error of the read. A page that can't be decoded is unavailable.
pub fn decode_read(response: &RelayResponse) -> Result<(Vec<StoredRecord>, u64), ReadError> {
    match response.status {
        status::OK => {
            decode_stored(&response.body).map_err(|error| ReadError::Unavailable(error.to_string()))
        }
        status::DELETED => Err(ReadError::Deleted),
        _ => Err(ReadError::Unavailable(response.cause())),
    }
}
