//! Announcements, heartbeats and their acknowledgements.

use std::time::Duration;

use agate_core::Incarnation;
use agate_wire::message::Verdict;
use agate_wire::rpc::AgentRpcClient;
use standin_backend::{Config, Fault, Handle, ServiceTime, serve};

use crate::support::{AgentOptions, FakeEntry, connect_agent, quick_config, request};

async fn backend() -> Handle {
    let service = ServiceTime::Fixed(Duration::from_millis(10));
    let config = Config::builder().service(service).build();
    serve(config).await.expect("loopback has free ports")
}

fn seeded(backend: &Handle, seed: &FakeEntry) -> AgentOptions {
    let mut options = AgentOptions::backend(backend.address());
    options.seeds = vec![seed.info.address];
    options
}

#[tokio::test]
async fn agent_announces_itself_and_discovers_every_entry() {
    let backend = backend().await;
    let (seed, peer) = (FakeEntry::start().await, FakeEntry::start().await);
    seed.state().config = Some(quick_config(1));
    seed.state().peers = vec![peer.info.clone()];
    let agent = seeded(&backend, &seed).start();

    for entry in [&seed, &peer] {
        entry
            .wait_until("a hello and two heartbeats", |state| {
                !state.hellos.is_empty() && state.heartbeats.len() >= 2
            })
            .await;
        let state = entry.state();
        let member = state.hellos[0].member.clone().expect("an agent said hello");
        assert_eq!(member.address, agent.address());
        assert_eq!(member.incarnation, agent.incarnation());
        let sequences = state.heartbeats.iter().map(|heartbeat| heartbeat.sequence);
        assert!(sequences.is_sorted_by(|a, b| a < b));
    }
    let both = |state: &crate::support::EntryState| {
        let last = state.heartbeats.last();
        last.is_some_and(|heartbeat| heartbeat.entries.len() == 2)
    };
    peer.wait_until("a heartbeat that names both entries", both)
        .await;
}

#[tokio::test]
async fn agent_unknown_to_an_entry_sends_another_hello() {
    let backend = backend().await;
    let entry = FakeEntry::start().await;
    let agent = seeded(&backend, &entry).start();
    entry
        .wait_until("a heartbeat", |state| !state.heartbeats.is_empty())
        .await;
    let before = entry.state().hellos.len();
    entry.state().verdict = Verdict::Unknown;
    entry
        .wait_until("another hello", |state| state.hellos.len() > before)
        .await;
    let state = entry.state();
    let members = state
        .hellos
        .iter()
        .filter_map(|hello| hello.member.as_ref());
    assert!(
        members
            .into_iter()
            .all(|m| m.incarnation == agent.incarnation())
    );
}

#[tokio::test]
async fn stopped_entry_is_no_longer_listed_and_another_is_found_through_a_seed() {
    let backend = backend().await;
    let (first, second) = (FakeEntry::start().await, FakeEntry::start().await);
    for entry in [&first, &second] {
        entry.state().config = Some(quick_config(1));
    }
    let mut options = seeded(&backend, &first);
    options.seeds.push(second.info.address);
    let _agent = options.start();
    let is_met = |entry: &FakeEntry| !entry.state().heartbeats.is_empty();
    crate::support::wait_until("one of the seeds", || is_met(&first) || is_met(&second)).await;
    let (gone, left) = if is_met(&first) {
        (&first, &second)
    } else {
        (&second, &first)
    };
    gone.stop();
    let only_left = |state: &crate::support::EntryState| {
        let last = state.heartbeats.last();
        last.is_some_and(|heartbeat| heartbeat.entries == vec![left.info.clone()])
    };
    left.wait_until("a heartbeat that names this entry alone", only_left)
        .await;
}

#[tokio::test]
async fn lost_incarnation_is_replaced_by_a_new_one() {
    let backend = backend().await;
    let entry = FakeEntry::start().await;
    entry.state().config = Some(quick_config(1));
    let agent = seeded(&backend, &entry).start();
    let first = agent.incarnation();
    entry
        .wait_until("a heartbeat", |state| !state.heartbeats.is_empty())
        .await;
    entry.set_verdict(first, Verdict::Lost);
    let another = |state: &crate::support::EntryState| {
        let last = state.heartbeats.last();
        last.is_some_and(|heartbeat| heartbeat.incarnation != first)
    };
    entry
        .wait_until("a heartbeat of a new incarnation", another)
        .await;
    let announced: Vec<Incarnation> = {
        let state = entry.state();
        let members = state
            .hellos
            .iter()
            .filter_map(|hello| hello.member.as_ref());
        members.map(|member| member.incarnation).collect()
    };
    assert!(announced.contains(&agent.incarnation()));
    assert_ne!(agent.incarnation(), first);
}

#[tokio::test]
async fn slowdown_is_reported_relative_to_the_class_baseline() {
    let backend = backend().await;
    let entry = FakeEntry::start().await;
    entry.state().config = Some(quick_config(1));
    let agent = seeded(&backend, &entry).start();
    let client = connect_agent(agent.address()).await;
    let slowed = |state: &crate::support::EntryState| {
        let mut samples = state.heartbeats.iter().flat_map(|h| &h.urgent);
        samples.any(|sample| sample.slowdown_percent >= 300)
    };
    let sampled = |state: &crate::support::EntryState| {
        let mut samples = state.heartbeats.iter().flat_map(|h| &h.urgent);
        samples.any(|sample| sample.slowdown_percent < 300)
    };
    let load = async {
        for id in 0.. {
            client.serve(request(&agent, id)).await.expect("a reply");
        }
    };
    let watch = async {
        entry.wait_until("a first sample", sampled).await;
        assert!(!slowed(&entry.state()));
        backend.set_fault(Fault::Slow { percent: 1_000 });
        entry.wait_until("a sample of the slowdown", slowed).await;
    };
    tokio::select! {
        () = load => {}
        () = watch => {}
    }
}

// Guards against a configuration version that no later one can replace.
#[tokio::test]
async fn an_odd_config_version_must_give_way_to_the_one_of_the_log() {
    let backend = backend().await;
    let entry = FakeEntry::start().await;
    entry.state().config = Some(quick_config(u64::MAX));
    let _agent = seeded(&backend, &entry).start();
    let held = |state: &crate::support::EntryState| {
        let last = state.heartbeats.last();
        last.map(|heartbeat| heartbeat.config)
    };
    entry
        .wait_until("a heartbeat with the odd version", |state| {
            held(state) == Some(quick_config(u64::MAX).version)
        })
        .await;
    entry.state().config = Some(quick_config(1));
    entry.state().refuted = Some(quick_config(u64::MAX).version);
    entry
        .wait_until("a heartbeat with the version of the log", |state| {
            held(state) == Some(quick_config(1).version)
        })
        .await;
}
