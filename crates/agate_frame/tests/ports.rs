//! Ports that the frame hands to processes.

use std::net::TcpListener;

use agate_frame::process::Ports;

#[test]
fn ports_are_handed_out_once_and_never_from_those_of_outgoing_connections() {
    // The lowest port that the system gives to outgoing connections.
    const OUTGOING: u16 = 32_768;
    let mut ports = Ports::new();
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let address = ports.free().expect("loopback has free ports");
        assert!(address.port() < OUTGOING, "{address}");
        assert!(seen.insert(address), "{address} was handed out twice");
    }
}

#[test]
fn port_that_somebody_listens_on_is_passed_over() {
    let mut ports = Ports::new();
    let first = ports.free().expect("loopback has free ports");
    let mut again = Ports::new();
    let listener = TcpListener::bind(first).expect("the port is free");
    assert_ne!(again.free().expect("loopback has free ports"), first);
    drop(listener);
}

/// A process that is being restarted doesn't listen for a while.
#[test]
fn ports_of_one_driver_are_never_handed_out_by_another() {
    let mut ports = Ports::new();
    let own: Vec<_> = (0..60)
        .map(|_| ports.free().expect("loopback has free ports"))
        .collect();
    let mut others = Ports::new();
    for _ in 0..120 {
        let other = others.free().expect("loopback has free ports");
        assert!(!own.contains(&other), "{other} belongs to another driver");
    }
}
