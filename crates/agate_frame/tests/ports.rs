//! Allocation of ports for the processes of a cluster.

use std::net::TcpListener;

use agate_frame::process::Ports;

#[test]
fn ports_are_unique_and_below_the_ephemeral_range() {
    // First ephemeral port of the operating system.
    const FIRST_EPHEMERAL_PORT: u16 = 32_768;
    let mut ports = Ports::new();
    let mut seen = std::collections::BTreeSet::new();
    for _ in 0..100 {
        let address = ports.free().expect("loopback has free ports");
        assert!(address.port() < FIRST_EPHEMERAL_PORT, "{address}");
        assert!(seen.insert(address), "{address} was handed out twice");
    }
}

#[test]
fn port_in_use_is_skipped() {
    let mut ports = Ports::new();
    let first = ports.free().expect("loopback has free ports");
    let mut again = Ports::new();
    let listener = TcpListener::bind(first).expect("the port is free");
    assert_ne!(again.free().expect("loopback has free ports"), first);
    drop(listener);
}

/// A process that restarts does not listen for a while. If another driver took its port in that
/// time, the process could not listen again.
#[test]
fn concurrent_drivers_never_share_a_port() {
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
