//! Records round-trip through encoding, and decoding arbitrary bytes never panics.

mod support;

use agate_core::{JobId, Offset};
use agate_records::generated::{self, record};
use agate_records::{
    Body, DecodedBatch, JobCancelled, JobSubmitted, MAX_BATCH_BYTES, Record, RecordError,
};
use proptest::collection::vec;
use proptest::prelude::{any, prop_assert, prop_assert_eq, proptest};
use prost::Message;
use rstest::rstest;

use support::batch;

proptest! {
    #[test]
    fn batch_round_trips_through_encoding(batch in batch(), offset in any::<u64>()) {
        let decoded = DecodedBatch::decode(Offset(offset), &batch.encode());
        prop_assert_eq!(decoded.id, Some(batch.id));
        prop_assert_eq!(&decoded.malformed, &[]);
        let indices: Vec<u32> = decoded.records.iter().map(|r| r.position.index).collect();
        prop_assert_eq!(indices, (0..).take(batch.records.len()).collect::<Vec<u32>>());
        let records: Vec<Record> = decoded.records.into_iter().map(|r| r.record).collect();
        prop_assert_eq!(records, batch.records);
    }

    #[test]
    fn decoding_random_bytes_reports_errors_without_panic(bytes in vec(any::<u8>(), 0..300)) {
        let decoded = DecodedBatch::decode(Offset(1), &bytes);
        prop_assert!(decoded.id.is_some() || decoded.malformed.len() == 1);
    }

    #[test]
    fn decoding_damaged_batches_reports_errors_without_panic(
        batch in batch(),
        damage in vec((any::<proptest::sample::Index>(), any::<u8>()), 1..6),
        length in any::<proptest::sample::Index>(),
    ) {
        let mut bytes = batch.encode();
        for (index, byte) in damage {
            let position = index.index(bytes.len());
            bytes[position] = byte;
        }
        bytes.truncate(length.index(bytes.len() + 1));
        let decoded = DecodedBatch::decode(Offset(1), &bytes);
        prop_assert!(decoded.id.is_some() || decoded.malformed.len() == 1);
    }
}

fn decode_error(body: Option<record::Body>) -> RecordError {
    let record = generated::Record { wall_ms: 0, body };
    Record::try_from(record).expect_err("the record should be malformed")
}

fn valid_job() -> generated::JobSubmitted {
    generated::JobSubmitted {
        job: 1,
        caller: "caller".to_owned(),
        team: "team".to_owned(),
        class: "class".to_owned(),
        tasks: 1,
        declared: Some(generated::Amount::default()),
        ..generated::JobSubmitted::default()
    }
}

#[rstest]
#[case::no_tasks(generated::JobSubmitted { tasks: 0, ..valid_job() }, "tasks")]
#[case::too_many_tasks(generated::JobSubmitted { tasks: 1_000_001, ..valid_job() }, "tasks")]
#[case::too_many_tags(
    generated::JobSubmitted { tags: vec!["t".to_owned(); 17], ..valid_job() },
    "tags"
)]
#[case::large_payload(
    generated::JobSubmitted { payload: "x".repeat(65_537), ..valid_job() },
    "payload"
)]
fn job_with_a_field_out_of_range_is_malformed(
    #[case] job: generated::JobSubmitted,
    #[case] field: &'static str,
) {
    let error = decode_error(Some(record::Body::JobSubmitted(job)));
    assert_eq!(error, RecordError::OutOfRange { field });
}

#[test]
fn check_reports_every_field_out_of_range() {
    let mut job = JobSubmitted::try_from(valid_job()).unwrap();
    assert!(job.check().is_empty());
    job.tasks = 0;
    job.tags = vec!["t".parse().unwrap(); 17];
    job.payload = "x".repeat(65_537);
    let findings = job.check();
    let fields: Vec<&str> = findings
        .as_slice()
        .iter()
        .map(|f| f.place.as_str())
        .collect();
    assert_eq!(fields, ["tasks", "tags", "payload"]);
}

#[rstest]
#[case::unknown_kind(None, "the kind of the record is unknown to this release")]
#[case::no_declared_resources(
    Some(record::Body::JobSubmitted(generated::JobSubmitted { declared: None, ..valid_job() })),
    "the field \"declared\" is missing"
)]
#[case::bad_name(
    Some(record::Body::JobSubmitted(generated::JobSubmitted {
        class: "No Class".to_owned(),
        ..valid_job()
    })),
    "the field \"class\" is not a name: a name holds only lower-case letters, digits and the \
     characters \"-\", \"_\", \".\" and \":\""
)]
#[case::no_run(
    Some(record::Body::RunBound(generated::RunBound::default())),
    "the field \"run\" is missing"
)]
#[case::unknown_result(
    Some(record::Body::RunEnded(generated::RunEnded { result: 99, ..Default::default() })),
    "the field \"result\" is out of its range"
)]
#[case::short_key(
    Some(record::Body::KeyBound(generated::KeyBound { key: vec![1; 15], ..Default::default() })),
    "the field \"key\" is out of its range"
)]
#[case::part_past_the_end(
    Some(record::Body::SnapshotPart(generated::SnapshotPart {
        part: 3,
        parts: 3,
        ..Default::default()
    })),
    "the field \"part\" is out of its range"
)]
#[case::long_preset_name(
    Some(record::Body::PresetPublished(generated::PresetPublished {
        name: "x".repeat(65),
        ..Default::default()
    })),
    "the field \"name\" is out of its range"
)]
#[case::empty_preset_name(
    Some(record::Body::PresetPublished(generated::PresetPublished::default())),
    "the field \"name\" is missing"
)]
fn error_text_names_the_malformed_field(#[case] body: Option<record::Body>, #[case] text: &str) {
    assert_eq!(decode_error(body).to_string(), text);
}

#[test]
fn malformed_record_is_skipped_and_others_keep_their_positions() {
    let good = Record {
        wall_ms: 1,
        body: Body::from(JobCancelled { job: JobId(1) }),
    };
    let batch = generated::Batch {
        id: vec![7; 16],
        records: vec![
            good.clone().into(),
            generated::Record::default(),
            good.into(),
        ],
    };
    let bytes = batch.encode_to_vec();
    let decoded = DecodedBatch::decode(Offset(3), &bytes);
    let indices: Vec<u32> = decoded.records.iter().map(|r| r.position.index).collect();
    assert_eq!(indices, [0, 2]);
    let text = decoded.malformed[0].to_string();
    assert_eq!(
        text,
        "3+1: the kind of the record is unknown to this release"
    );
}

#[test]
fn batch_over_the_size_limit_is_not_decoded() {
    let bytes = vec![0; MAX_BATCH_BYTES + 1];
    let decoded = DecodedBatch::decode(Offset(1), &bytes);
    let error = RecordError::TooLarge { bytes: bytes.len() };
    assert_eq!(decoded.malformed[0].error, error);
}
