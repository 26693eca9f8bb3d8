//! Bodies that cross a process border arrive whole or not at all.

use agate_wire::{Blob, BlobError, MAX_BODY_BYTES};
use proptest::prelude::*;
use rstest::rstest;
use serde_json::{Value, json};

fn altered(field: &str, value: Value) -> Blob {
    let mut blob = serde_json::to_value(Blob::new(b"seat 17")).expect("a blob is JSON");
    blob[field] = value;
    serde_json::from_value(blob).expect("the shape is kept")
}

#[rstest]
#[case::cut("data", json!("c2VhdCA="), BlobError::Length)]
#[case::other_answer("data", json!("c2VhdCAxOA=="), BlobError::Checksum)]
#[case::not_base64("data", json!("***"), BlobError::NotBase64)]
#[case::wrong_length("length", json!(8), BlobError::Length)]
#[case::huge_length("length", json!(MAX_BODY_BYTES as u64 + 1), BlobError::TooLarge)]
#[case::wrong_sum("sum", json!(1), BlobError::Checksum)]
fn altered_body_is_refused(#[case] field: &str, #[case] value: Value, #[case] expected: BlobError) {
    assert_eq!(altered(field, value).decode(), Err(expected));
}

proptest! {
    #[test]
    fn body_survives_the_wire(body in proptest::collection::vec(any::<u8>(), 0..2_000)) {
        let json = serde_json::to_string(&Blob::new(&body)).expect("a blob is JSON");
        let blob: Blob = serde_json::from_str(&json).expect("the text is a blob");
        prop_assert_eq!(blob.decode(), Ok(body));
    }
}
