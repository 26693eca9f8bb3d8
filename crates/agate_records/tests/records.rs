//! Records survive encoding, and hostile bytes never panic.

use std::net::SocketAddr;

use agate_core::{Incarnation, JobId, Key, Offset, Position, Resources, RunId, TaskId, Version};
use agate_records::generated::{self, record};
use agate_records::{
    Batch, BatchId, Body, DecodedBatch, JobCancelled, JobSubmitted, KeyBound, MAX_BATCH_BYTES,
    MAX_TASKS, MemberLost, PresetPublished, PresetSwitched, Record, RecordError, Resumed, RunBound,
    RunEnd, RunEnded, SnapshotId, SnapshotPart, Withdrawn,
};
use agate_wire::message::{Selector, StopMode};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_assert, prop_assert_eq, prop_oneof, proptest};
use proptest::strategy::BoxedStrategy;
use prost::Message;
use rstest::rstest;

/// Makes each name from the same few letters.
fn name<T>() -> impl Strategy<Value = T>
where
    T: TryFrom<String, Error = agate_core::names::NameError> + std::fmt::Debug,
{
    "[a-z0-9:._-]{1,64}".prop_map(|text| T::try_from(text).expect("a valid name"))
}

fn resources() -> impl Strategy<Value = Resources> {
    any::<(u32, u32, u32)>().prop_map(|(cpu, memory, acc)| Resources::new(cpu, memory, acc))
}

fn run() -> impl Strategy<Value = RunId> {
    any::<(u64, u32, u32)>().prop_map(|(job, index, epoch)| RunId {
        task: TaskId {
            job: JobId(job),
            index,
        },
        epoch,
    })
}

fn position() -> impl Strategy<Value = Position> {
    any::<(u64, u32)>().prop_map(|(offset, index)| Position::new(Offset(offset), index))
}

fn incarnation() -> impl Strategy<Value = Incarnation> {
    any::<u64>().prop_map(Incarnation::new)
}

fn selector() -> impl Strategy<Value = Selector> {
    prop_oneof![
        name().prop_map(Selector::Class),
        name().prop_map(Selector::Tag),
    ]
}

fn run_end() -> impl Strategy<Value = RunEnd> {
    prop_oneof![
        Just(RunEnd::Finished),
        any::<(String, bool)>()
            .prop_map(|(reason, exhausted)| RunEnd::Failed { reason, exhausted }),
        any::<String>().prop_map(|checkpoint| RunEnd::Evicted { checkpoint }),
        Just(RunEnd::Stopped),
        any::<String>().prop_map(|reason| RunEnd::NotStarted { reason }),
        Just(RunEnd::Lost),
        any::<String>().prop_map(|reason| RunEnd::Impossible { reason }),
    ]
}

fn job() -> impl Strategy<Value = JobSubmitted> {
    let names = (name(), name(), name(), vec(name(), 0..4));
    (
        any::<u64>(),
        names,
        1..=MAX_TASKS,
        resources(),
        any::<String>(),
    )
        .prop_map(
            |(job, (caller, team, class, tags), tasks, declared, payload)| JobSubmitted {
                job: JobId(job),
                caller,
                team,
                class,
                tags,
                tasks,
                declared,
                payload,
            },
        )
}

fn part() -> impl Strategy<Value = SnapshotPart> {
    let items = vec(vec(any::<u8>(), 0..20), 0..4);
    (any::<u128>(), position(), 0..u32::MAX, items).prop_map(|(id, at, part, items)| SnapshotPart {
        snapshot: SnapshotId(id),
        at,
        part,
        parts: part + 1,
        items,
    })
}

fn key_bound() -> impl Strategy<Value = KeyBound> {
    (
        0..1_u64 << 48,
        any::<[u8; 10]>(),
        incarnation(),
        any::<SocketAddr>(),
    )
        .prop_map(|(made_ms, random, incarnation, address)| KeyBound {
            key: Key::from_parts(made_ms, random),
            incarnation,
            // Flow and scope are no part of an address as settings write it.
            address: SocketAddr::new(address.ip(), address.port()),
        })
}

fn body() -> BoxedStrategy<Body> {
    let published = ("[a-z]{1,64}", any::<String>(), any::<String>());
    let switched = (any::<String>(), position(), any::<String>());
    let mode = prop_oneof![
        Just(StopMode::Finish),
        Just(StopMode::Checkpoint),
        Just(StopMode::Stop),
    ];
    prop_oneof![
        published.prop_map(|(name, json, operator)| {
            Body::from(PresetPublished {
                name,
                json,
                operator,
            })
        }),
        switched.prop_map(|(name, expected, operator)| {
            let expected = Version(expected);
            Body::from(PresetSwitched {
                name,
                expected,
                operator,
            })
        }),
        (selector(), mode, any::<String>()).prop_map(|(selector, mode, operator)| {
            Body::from(Withdrawn {
                selector,
                mode,
                operator,
            })
        }),
        (selector(), any::<String>())
            .prop_map(|(selector, operator)| { Body::from(Resumed { selector, operator }) }),
        job().prop_map(Body::from),
        any::<u64>().prop_map(|job| Body::from(JobCancelled { job: JobId(job) })),
        (run(), incarnation(), resources()).prop_map(|(run, incarnation, demand)| {
            Body::from(RunBound {
                run,
                incarnation,
                demand,
            })
        }),
        (run(), incarnation(), run_end(), resources()).prop_map(|(run, incarnation, end, peak)| {
            Body::from(RunEnded {
                run,
                incarnation,
                end,
                peak,
            })
        }),
        incarnation().prop_map(|incarnation| Body::from(MemberLost { incarnation })),
        key_bound().prop_map(Body::from),
        part().prop_map(Body::from),
    ]
    .boxed()
}

fn batch() -> impl Strategy<Value = Batch> {
    let record = (any::<u64>(), body()).prop_map(|(wall_ms, body)| Record { wall_ms, body });
    (any::<u128>(), vec(record, 0..6)).prop_map(|(id, records)| Batch {
        id: BatchId(id),
        records,
    })
}

proptest! {
    #[test]
    fn a_batch_survives_encoding(batch in batch(), offset in any::<u64>()) {
        let decoded = DecodedBatch::decode(Offset(offset), &batch.encode());
        prop_assert_eq!(decoded.id, Some(batch.id));
        prop_assert_eq!(&decoded.malformed, &[]);
        let indices: Vec<u32> = decoded.records.iter().map(|r| r.position.index).collect();
        prop_assert_eq!(indices, (0..).take(batch.records.len()).collect::<Vec<u32>>());
        let records: Vec<Record> = decoded.records.into_iter().map(|r| r.record).collect();
        prop_assert_eq!(records, batch.records);
    }

    #[test]
    fn random_bytes_are_findings_and_no_panic(bytes in vec(any::<u8>(), 0..300)) {
        let decoded = DecodedBatch::decode(Offset(1), &bytes);
        prop_assert!(decoded.id.is_some() || decoded.malformed.len() == 1);
    }

    #[test]
    fn damaged_batches_are_findings_and_no_panic(
        batch in batch(),
        damage in vec((any::<proptest::sample::Index>(), any::<u8>()), 1..6),
        cut in any::<proptest::sample::Index>(),
    ) {
        let mut bytes = batch.encode();
        for (index, byte) in damage {
            let at = index.index(bytes.len());
            bytes[at] = byte;
        }
        bytes.truncate(cut.index(bytes.len() + 1));
        let decoded = DecodedBatch::decode(Offset(1), &bytes);
        prop_assert!(decoded.id.is_some() || decoded.malformed.len() == 1);
    }
}

fn malformed(body: Option<record::Body>) -> RecordError {
    let record = generated::Record { wall_ms: 0, body };
    Record::try_from(record).expect_err("the record is malformed")
}

fn submitted() -> generated::JobSubmitted {
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
#[case::no_tasks(generated::JobSubmitted { tasks: 0, ..submitted() }, "tasks")]
#[case::too_many_tasks(generated::JobSubmitted { tasks: 1_000_001, ..submitted() }, "tasks")]
#[case::too_many_tags(
    generated::JobSubmitted { tags: vec!["t".to_owned(); 17], ..submitted() },
    "tags"
)]
#[case::large_payload(
    generated::JobSubmitted { payload: "x".repeat(65_537), ..submitted() },
    "payload"
)]
fn a_job_out_of_range_is_malformed(
    #[case] job: generated::JobSubmitted,
    #[case] field: &'static str,
) {
    let error = malformed(Some(record::Body::JobSubmitted(job)));
    assert_eq!(error, RecordError::OutOfRange { field });
}

#[test]
fn the_check_of_a_job_names_every_field() {
    let mut job = JobSubmitted::try_from(submitted()).unwrap();
    assert!(job.check().is_empty());
    job.tasks = 0;
    job.tags = vec!["t".parse().unwrap(); 17];
    job.payload = "x".repeat(65_537);
    let findings = job.check();
    let places: Vec<&str> = findings
        .as_slice()
        .iter()
        .map(|f| f.place.as_str())
        .collect();
    assert_eq!(places, ["tasks", "tags", "payload"]);
}

#[rstest]
#[case::unknown_kind(None, "the kind of the record is unknown to this release")]
#[case::no_declaration(
    Some(record::Body::JobSubmitted(generated::JobSubmitted { declared: None, ..submitted() })),
    "the field \"declared\" is missing"
)]
#[case::bad_name(
    Some(record::Body::JobSubmitted(generated::JobSubmitted {
        class: "No Class".to_owned(),
        ..submitted()
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
#[case::part_past_the_last(
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
#[case::unnamed_preset(
    Some(record::Body::PresetPublished(generated::PresetPublished::default())),
    "the field \"name\" is missing"
)]
fn what_is_malformed_is_named(#[case] body: Option<record::Body>, #[case] text: &str) {
    assert_eq!(malformed(body).to_string(), text);
}

#[test]
fn a_malformed_record_is_skipped_and_the_others_keep_their_places() {
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
    let places: Vec<u32> = decoded.records.iter().map(|r| r.position.index).collect();
    assert_eq!(places, [0, 2]);
    let shown = decoded.malformed[0].to_string();
    assert_eq!(
        shown,
        "3+1: the kind of the record is unknown to this release"
    );
}

#[test]
fn a_batch_over_the_limit_is_not_decoded() {
    let bytes = vec![0; MAX_BATCH_BYTES + 1];
    let decoded = DecodedBatch::decode(Offset(1), &bytes);
    let error = RecordError::TooLarge { bytes: bytes.len() };
    assert_eq!(decoded.malformed[0].error, error);
}
