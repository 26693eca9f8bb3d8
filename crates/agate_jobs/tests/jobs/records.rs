//! Tests of the encoding of records.

use agate_core::JobId;
use agate_jobs::record::Body;
use agate_jobs::{EndCause, Record, StartBlock, TaskKey, UnstartedRun, WorkerReport};
use proptest::prelude::*;
use rstest::rstest;

use crate::support::{cancelled, ended, report, step, submitted, task};

#[rstest]
#[case(submitted(7, vec![step(2)]), "j/0000000000000007")]
#[case(cancelled(7), "c/0000000000000007")]
#[case(
    ended(task(7, 1, 2), 3, EndCause::Done, "a"),
    "e/0000000000000007.0.1.2/3"
)]
#[case(
    ended(task(7, 1, 2), 3, EndCause::Untraced, "a"),
    "n/0000000000000007.0.1.2/3"
)]
#[case(
    ended(task(7, 1, 2), 3, EndCause::Lost, "a"),
    "x/0000000000000007.0.1.2/3"
)]
#[case(Record::new(Body::Worker(report("i-1", 5))), "w/i-1")]
#[case(
    Record::new(Body::Worker(WorkerReport { start_block: Some(StartBlock::ZonesStale), ..report("i-1", 5) })),
    "w/i-1"
)]
#[case(
    Record::new(Body::Worker(WorkerReport {
        not_started: vec![UnstartedRun { task: task(7, 1, 2), run: 3 }],
        ..report("i-1", 5)
    })),
    "w/i-1"
)]
fn a_record_round_trips_under_its_key(#[case] record: Record, #[case] key: &str) {
    assert_eq!(record.key, key);
    let value = record.value().expect("the record can be encoded");
    let read = Record::parse(key.to_owned(), &value).expect("the record is valid");
    assert_eq!(read, record);
}

#[rstest]
#[case(b"{".as_slice())]
#[case(b"{\"unheard_of\":{}}".as_slice())]
#[case(b"\xff\xfe".as_slice())]
fn an_invalid_record_is_an_error_with_its_key(#[case] value: &[u8]) {
    let error = Record::parse("j/1".to_owned(), value).expect_err("the record is invalid");
    assert_eq!(error.key, "j/1");
}

#[test]
fn an_empty_value_is_a_tombstone() {
    let record = Record::parse("j/1".to_owned(), b"").expect("the record is valid");
    assert_eq!(record, Record::tombstone("j/1".to_owned()));
}

#[rstest]
#[case("")]
#[case("0000000000000001.0.0")]
#[case("0000000000000001.0.0.0.0")]
#[case("x.0.0.0")]
#[case("0000000000000001.0.-1.0")]
fn a_malformed_task_key_is_rejected(#[case] name: &str) {
    assert!(name.parse::<TaskKey>().is_err(), "{name:?} was accepted");
}

/// Agents of earlier versions don't report what keeps them from starting runs, and a report that says
/// nothing of it reads as before.
#[test]
fn a_report_without_a_start_block_has_no_field_for_it() {
    let record = Record::new(Body::Worker(report("i-1", 5)));
    let value = record.value().expect("the record can be encoded");
    let text = String::from_utf8(value).expect("it is JSON");
    assert!(!text.contains("start_block"), "{text}");
}

/// Agents of earlier versions don't report the runs that they have not started.
#[test]
fn a_report_without_unstarted_runs_has_no_field_for_them() {
    let record = Record::new(Body::Worker(report("i-1", 5)));
    let value = record.value().expect("the record can be encoded");
    let text = String::from_utf8(value).expect("it is JSON");
    assert!(!text.contains("not_started"), "{text}");
}

proptest! {
    #[test]
    fn a_task_key_round_trips(
        job: u64, occurrence: u32, step: u32, index: u32,
    ) {
        let task = TaskKey { job: JobId(job), occurrence, step, index };
        prop_assert_eq!(task.to_string().parse::<TaskKey>(), Ok(task));
    }

    #[test]
    fn parsing_never_panics(key: String, value: Vec<u8>) {
        // Either result is fine as long as it doesn't panic.
        let _ = Record::parse(key, &value);
    }
}
