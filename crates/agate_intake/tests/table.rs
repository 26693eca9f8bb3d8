//! Which connection is closed when a limit is reached.

use agate_core::Moment;
use agate_intake::{Admission, Cause, ConnectionKey, Limits, MachineError, Phase, Reuse, Table};
use rstest::rstest;

const KIB: usize = 1_024;

fn limits() -> Limits {
    Limits::builder().connections(3).bytes(100 * KIB).build()
}

fn at(ms: u64) -> Moment {
    Moment::from_millis(ms)
}

fn open(table: &mut Table, now: Moment) -> ConnectionKey {
    match table.open(now) {
        Admission::Admitted(key, None) => key,
        other => panic!("{other:?}"),
    }
}

/// Opens a connection with a part of a body.
fn upload(table: &mut Table, bytes: usize, now: Moment) -> ConnectionKey {
    let key = open(table, now);
    table.receive(key, 1, now);
    table.begin_body(key, now);
    table.grow(key, bytes);
    key
}

/// Opens a connection whose request was answered.
fn served(table: &mut Table, now: Moment) -> ConnectionKey {
    let key = open(table, now);
    table.receive(key, 100, now);
    table.begin_body(key, now);
    table.complete(key, now);
    table.begin_response(key, 10, now);
    table.send(key, 10);
    table.flush(key, now);
    assert_eq!(table.phase(key), Some(Phase::Idle));
    key
}

/// Refusing new connections would leave the service to the clients that came first and say nothing.
#[test]
fn a_new_connection_displaces_the_one_that_has_been_silent_longest() {
    let mut table = Table::new(limits());
    let first = open(&mut table, at(0));
    let second = open(&mut table, at(1));
    open(&mut table, at(2));
    let Admission::Admitted(_, displaced) = table.open(at(3)) else {
        panic!("it is admitted");
    };
    assert_eq!(displaced, Some(first));
    assert_eq!((table.phase(first), table.len()), (None, 3));
    assert_eq!(table.phase(second), Some(Phase::Silent));
}

/// A crowd that stops short must make way before a client that sends its request without a pause.
#[test]
fn what_is_held_for_longest_is_closed_first() {
    let mut table = Table::new(limits());
    let stalled = upload(&mut table, 40 * KIB, at(0));
    let small = upload(&mut table, KIB, at(0));
    let recent = upload(&mut table, 50 * KIB, at(9_000));
    assert_eq!(table.close_for_memory(at(10_000)), None);
    table.grow(recent, 20 * KIB);
    assert_eq!(table.close_for_memory(at(10_000)), Some(stalled));
    assert_eq!(table.close_for_memory(at(10_000)), None);
    assert!(table.phase(small).is_some() && table.phase(recent).is_some());
}

/// A request that is complete may take effect, so it is answered.
#[test]
fn connections_with_complete_requests_are_never_closed() {
    let mut table = Table::new(limits());
    for _ in 0..3 {
        let key = upload(&mut table, 50 * KIB, at(0));
        table.complete(key, at(0));
    }
    assert_eq!(table.open(at(60_000)), Admission::Refused);
    assert_eq!(table.close_for_memory(at(60_000)), None);
    assert_eq!(table.close_late(at(600_000)), []);
}

/// Clients that send one request after the other on all connections must not keep all others out.
#[test]
fn a_connection_is_not_reused_after_a_refusal() {
    let mut table = Table::new(limits());
    let keys: Vec<_> = (0..3).map(|_| upload(&mut table, 1, at(0))).collect();
    for key in &keys {
        table.complete(*key, at(0));
    }
    assert_eq!(table.begin_response(keys[0], 1, at(1)), Reuse::Allowed);
    table.complete(keys[0], at(1));
    assert_eq!(table.open(at(2)), Admission::Refused);
    assert_eq!(table.begin_response(keys[1], 1, at(3)), Reuse::Denied);
    assert_eq!(table.begin_response(keys[2], 1, at(2_002)), Reuse::Allowed);
}

/// A client may send its next request right after a response.
#[rstest]
#[case::just_served(500, false)]
#[case::idle(5_000, true)]
fn an_idle_connection_is_displaced_after_a_while(#[case] now: u64, #[case] is_displaced: bool) {
    let mut table = Table::new(limits());
    for _ in 0..3 {
        served(&mut table, at(0));
    }
    let admitted = matches!(table.open(at(now)), Admission::Admitted(_, Some(_)));
    assert_eq!(admitted, is_displaced);
}

/// Requests that were sent ahead stay in memory while the one before them is answered.
#[test]
fn a_request_that_was_sent_ahead_counts_after_the_response() {
    let mut table = Table::new(limits());
    let key = open(&mut table, at(0));
    table.receive(key, 100, at(0));
    table.begin_body(key, at(0));
    table.complete(key, at(0));
    table.receive(key, 70, at(1));
    table.begin_response(key, 10, at(2));
    table.send(key, 10);
    table.flush(key, at(3));
    assert_eq!((table.phase(key), table.held()), (Some(Phase::Head), 70));
}

#[rstest]
#[case::silent(|_: &mut Table, _| {}, 60_000, Cause::Idle)]
#[case::head(|table: &mut Table, key| table.receive(key, 1, at(0)), 15_000, Cause::HeadTimeout)]
#[case::body(|table: &mut Table, key| table.begin_body(key, at(0)), 15_000, Cause::Stalled)]
#[case::response(
    |table: &mut Table, key| { table.begin_response(key, 9, at(0)); }, 15_000, Cause::Stalled
)]
fn a_phase_has_a_time_limit(
    #[case] enter: impl Fn(&mut Table, ConnectionKey),
    #[case] limit_ms: u64,
    #[case] cause: Cause,
) {
    let mut table = Table::new(limits());
    let key = open(&mut table, at(0));
    enter(&mut table, key);
    assert_eq!(table.close_late(at(limit_ms - 1)), []);
    assert_eq!(table.close_late(at(limit_ms)), [(key, cause)]);
    assert!(table.is_empty());
}

/// A slow client inside the limits is served, while one that sends a byte a second isn't kept for ever.
#[rstest]
#[case::slow(4_096, None)]
#[case::drip(15, Some(Cause::Stalled))]
fn a_body_that_moves_has_no_total_limit(#[case] bytes: usize, #[case] expected: Option<Cause>) {
    let mut table = Table::new(limits());
    let key = upload(&mut table, KIB, at(0));
    let mut closed = None;
    for period in 1..=20 {
        table.receive(key, bytes, at(period * 15_000 - 1));
        let late = table.close_late(at(period * 15_000));
        closed = closed.or(late.first().map(|(_, cause)| *cause));
    }
    assert_eq!(closed, expected);
}

#[rstest]
#[case::entry(260, 4_100, 1_950, 32)]
#[case::agent(128, 4_096, 1_024, 16)]
#[case::few_descriptors(260, 300, 50, 32)]
fn limits_follow_from_the_machine(
    #[case] memory_mb: usize,
    #[case] descriptors: usize,
    #[case] connections: usize,
    #[case] bytes_mb: usize,
) {
    let limits = Limits::of_machine(memory_mb << 20, descriptors).expect("it is large enough");
    assert_eq!(
        (limits.connections, limits.bytes >> 20),
        (connections, bytes_mb)
    );
}

#[test]
fn a_machine_without_descriptors_for_clients_is_an_error() {
    let error = MachineError {
        memory: 1 << 20,
        descriptors: 200,
    };
    assert_eq!(Limits::of_machine(1 << 20, 200), Err(error));
}
