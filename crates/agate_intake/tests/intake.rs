//! Connections of several listeners under one set of limits.

use std::time::Duration;

use agate_intake::{Cause, Intake, Limits};
use tokio::time::{advance, pause, timeout};

fn intake(connections: usize) -> Intake {
    Intake::new(
        Limits::builder()
            .connections(connections)
            .bytes(100)
            .build(),
    )
}

#[tokio::test]
async fn a_displaced_connection_is_told_to_close() {
    pause();
    let intake = intake(1);
    let first = intake.open().expect("there is room");
    let second = intake.open().expect("it displaces the first");
    first.closed().await;
    let waits = timeout(Duration::from_secs(1), second.closed()).await;
    assert!(waits.is_err(), "the second connection stays open");
    assert_eq!(intake.check().closed, [(Cause::Displaced, 1)]);
}

#[tokio::test]
async fn a_dropped_connection_leaves_room() {
    pause();
    let intake = intake(1);
    for _ in 0..3 {
        let ticket = intake.open().expect("there is room");
        ticket.begin_body();
        ticket.complete().expect("it is open");
    }
    assert_eq!(intake.check().connections, 0);
}

/// A request must not take effect on a connection that is closed: its client counts it as refused.
#[tokio::test]
async fn a_request_over_the_memory_is_not_completed() {
    pause();
    let intake = intake(2);
    let ticket = intake.open().expect("there is room");
    ticket.begin_body();
    assert!(ticket.grow(101).is_err());
    assert!(ticket.complete().is_err());
    assert_eq!(intake.check().closed, [(Cause::Memory, 1)]);
}

/// A process that was paused hasn't read what its clients sent meanwhile.
#[tokio::test]
async fn a_pause_of_the_process_does_not_count_against_clients() {
    pause();
    let intake = intake(2);
    let ticket = intake.open().expect("there is room");
    advance(Duration::from_mins(10)).await;
    assert_eq!(intake.check().closed, []);
    for _ in 0..58 {
        advance(Duration::from_secs(1)).await;
        intake.check();
    }
    ticket.closed().await;
    assert_eq!(intake.check().connections, 0);
}
