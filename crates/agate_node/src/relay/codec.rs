//! Binary encoding of records. Numbers are big-endian.

use displaydoc::Display;

use crate::store::StoredRecord;

/// the message is malformed: {0}
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub struct DecodeError(pub &'static str);

impl std::error::Error for DecodeError {}

/// a record's key or value is too long
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub struct EncodeError;

impl std::error::Error for EncodeError {}

/// Encodes records that are to be appended.
pub(super) fn encode_records(records: &[(String, Vec<u8>)]) -> Result<Vec<u8>, EncodeError> {
    let mut body = Vec::new();
    for (key, value) in records {
        push_record(&mut body, key, value)?;
    }
    Ok(body)
}

/// Encodes stored records and the offset after them.
pub(super) fn encode_stored(records: &[StoredRecord], end: u64) -> Result<Vec<u8>, EncodeError> {
    let mut body = end.to_be_bytes().to_vec();
    for record in records {
        body.extend_from_slice(&record.offset.to_be_bytes());
        push_record(&mut body, &record.key, &record.value)?;
    }
    Ok(body)
}

/// Decodes records that are to be appended.
pub(super) fn decode_records(body: &[u8]) -> Result<Vec<(String, Vec<u8>)>, DecodeError> {
    let mut reader = Reader(body);
    let mut records = Vec::new();
    while !reader.0.is_empty() {
        records.push(reader.record()?);
    }
    Ok(records)
}

/// Decodes stored records and the offset after them.
pub(super) fn decode_stored(body: &[u8]) -> Result<(Vec<StoredRecord>, u64), DecodeError> {
    let mut reader = Reader(body);
    let end = reader.u64()?;
    let mut records = Vec::new();
    while !reader.0.is_empty() {
        let offset = reader.u64()?;
        let (key, value) = reader.record()?;
        records.push(StoredRecord { offset, key, value });
    }
    Ok((records, end))
}

/// Decodes a body that is a single offset.
pub(super) fn decode_offset(body: &[u8]) -> Result<u64, DecodeError> {
    let offset = body.try_into();
    let offset = offset.map_err(|_length| DecodeError("an offset has eight bytes"))?;
    Ok(u64::from_be_bytes(offset))
}

fn push_record(body: &mut Vec<u8>, key: &str, value: &[u8]) -> Result<(), EncodeError> {
    let key_length = u16::try_from(key.len()).map_err(|_long| EncodeError)?;
    let value_length = u32::try_from(value.len()).map_err(|_long| EncodeError)?;
    body.extend_from_slice(&key_length.to_be_bytes());
    body.extend_from_slice(&value_length.to_be_bytes());
    body.extend_from_slice(key.as_bytes());
    body.extend_from_slice(value);
    Ok(())
}

/// The part of a message that is not decoded yet.
struct Reader<'a>(&'a [u8]);

impl<'a> Reader<'a> {
    fn array<const N: usize>(&mut self) -> Result<[u8; N], DecodeError> {
        let split = self.0.split_first_chunk::<N>();
        let (head, rest) = split.ok_or(DecodeError("a number is cut short"))?;
        self.0 = rest;
        Ok(*head)
    }

    fn bytes(&mut self, length: usize) -> Result<&'a [u8], DecodeError> {
        let split = self.0.split_at_checked(length);
        let (head, rest) = split.ok_or(DecodeError("a record is cut short"))?;
        self.0 = rest;
        Ok(head)
    }

    fn u64(&mut self) -> Result<u64, DecodeError> {
        self.array().map(u64::from_be_bytes)
    }

    fn record(&mut self) -> Result<(String, Vec<u8>), DecodeError> {
        let key_length = usize::from(u16::from_be_bytes(self.array()?));
        let value_length = u32::from_be_bytes(self.array()?) as usize;
        let key = std::str::from_utf8(self.bytes(key_length)?);
        let key = key.map_err(|_bytes| DecodeError("a key is not text"))?;
        Ok((key.to_owned(), self.bytes(value_length)?.to_vec()))
    }
}
