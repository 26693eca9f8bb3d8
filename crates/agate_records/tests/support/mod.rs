//! Strategies that generate random records.

use std::net::SocketAddr;

use agate_core::{Incarnation, JobId, Key, Offset, Position, Resources, RunId, TaskId, Version};
use agate_records::{
    Batch, BatchId, Body, JobCancelled, JobSubmitted, KeyBound, MAX_TASKS, MemberLost,
    PresetPublished, PresetSwitched, Record, Resumed, RunBound, RunEnd, RunEnded, SnapshotId,
    SnapshotPart, Withdrawn,
};
use agate_wire::message::{Selector, StopMode};
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_oneof};
use proptest::strategy::BoxedStrategy;

/// Generates valid names.
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
            // Addresses in settings have no IPv6 flow label or scope id.
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

pub fn batch() -> impl Strategy<Value = Batch> {
    let record = (any::<u64>(), body()).prop_map(|(wall_ms, body)| Record { wall_ms, body });
    (any::<u128>(), vec(record, 0..6)).prop_map(|(id, records)| Batch {
        id: BatchId(id),
        records,
    })
}
