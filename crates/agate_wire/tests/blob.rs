//! Decoding a body returns it unchanged or fails.

use agate_wire::{Blob, BlobError, MAX_BODY_BYTES};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn with_field(field: &str, value: Value) -> Blob {
    let mut blob = serde_json::to_value(Blob::new(b"seat 17")).expect("a blob is JSON");
    blob[field] = value;
    serde_json::from_value(blob).expect("the altered JSON is still a blob")
}

#[rstest]
#[case::truncated("data", json!("c2VhdCA="), BlobError::Length)]
#[case::other_body("data", json!("c2VhdCAxOA=="), BlobError::Checksum)]
#[case::not_base64("data", json!("***"), BlobError::NotBase64)]
#[case::wrong_length("length", json!(8), BlobError::Length)]
#[case::huge_length("length", json!(MAX_BODY_BYTES as u64 + 1), BlobError::TooLarge)]
#[case::wrong_sum("sum", json!(1), BlobError::Checksum)]
fn decode_rejects_an_altered_body(
    #[case] field: &str,
    #[case] value: Value,
    #[case] expected: BlobError,
) {
    assert_eq!(with_field(field, value).decode(), Err(expected));
}

proptest! {
    #[test]
    fn body_round_trips_through_json(body in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let json = serde_json::to_string(&Blob::new(&body)).expect("a blob is JSON");
        let blob: Blob = serde_json::from_str(&json).expect("the text is a blob");
        prop_assert_eq!(blob.decode(), Ok(body));
    }
}
