//! Admission, withdrawal and delivery of urgent requests.

use std::sync::Arc;
use std::time::Duration;

use agate_core::ids::Offset;
use agate_core::{Incarnation, Key, Position, Version};
use agate_wire::Blob;
use agate_wire::message::{
    ConfigState, Refusal, Selector, ServeRequest, ServeResult, StopMode, Withdrawal,
};
use agate_wire::rpc::AgentRpcClient;
use rstest::rstest;

use crate::support::{
    Choice, SuspendableClock, ask, backend, dial, done_body, key, refusal, request, until,
};

#[tokio::test]
async fn answer_is_the_callers_own() {
    let backend = backend(8, Duration::from_millis(2)).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    for id in 0..20 {
        let reply = client.serve(request(&agent, id)).await.expect("a reply");
        assert_eq!(reply.request, id);
        assert_eq!(done_body(&reply), format!("body of {id}").into_bytes());
    }
    assert_eq!(backend.ran().runs.len(), 20);
}

#[tokio::test]
async fn slots_and_connections_are_never_exceeded() {
    let backend = backend(6, Duration::from_millis(5)).await;
    let mut choice = Choice::backend(backend.address());
    choice.slots = 6;
    choice.connections = 3;
    let agent = choice.start();
    let mut tasks = tokio::task::JoinSet::new();
    for entry in 0..4_u64 {
        let client = Arc::new(dial(agent.address()).await);
        for id in 0..50 {
            let (client, request) = (Arc::clone(&client), request(&agent, entry * 100 + id));
            tasks.spawn(async move { client.serve(request).await.expect("a reply") });
        }
    }
    let replies = tasks.join_all().await;
    let answered = replies.iter().filter(|reply| refusal(reply).is_none());
    let answered = answered
        .inspect(|reply| assert!(!done_body(reply).is_empty()))
        .count();
    let ran = backend.ran();
    assert!(answered >= 9, "only {answered} answered");
    assert_eq!(ran.runs.len(), answered);
    assert_eq!((ran.refused, ran.peak_slots), (0, 3));
    assert!(ran.peak_connections <= 3, "{}", ran.peak_connections);
}

#[tokio::test]
async fn refusal_comes_at_once_with_load_and_a_time_to_come_back() {
    let backend = backend(1, Duration::from_secs(5)).await;
    let mut choice = Choice::backend(backend.address());
    choice.slots = 1;
    let agent = choice.start();
    let client = Arc::new(dial(agent.address()).await);
    let flood = (0..3).map(|id| {
        let (client, request) = (Arc::clone(&client), request(&agent, id));
        tokio::spawn(async move { client.serve(request).await })
    });
    let flood: Vec<_> = flood.collect();
    let queued = async {
        loop {
            let fate = client.key_status(ask(key(), agent.incarnation(), false));
            if fate.await.expect("a reply").load.queued == 2 {
                return;
            }
        }
    };
    queued.await;
    let began = tokio::time::Instant::now();
    let reply = client.serve(request(&agent, 9)).await.expect("a reply");
    assert!(began.elapsed() < Duration::from_secs(4), "refused too late");
    assert_eq!(refusal(&reply), Some(Refusal::Full));
    let ServeResult::Refused { retry_ms, .. } = reply.result else {
        panic!("expected a refusal");
    };
    assert!(retry_ms >= 200, "{retry_ms}");
    assert_eq!(reply.load.running, 1);
    assert_eq!(reply.load.queued, 2);
    drop(flood);
}

#[tokio::test]
async fn request_that_waited_through_a_suspension_is_not_started() {
    let backend = backend(1, Duration::from_millis(300)).await;
    let clock = Arc::new(SuspendableClock::default());
    let mut choice = Choice::backend(backend.address());
    choice.slots = 1;
    let agent = choice.start_with(Arc::<SuspendableClock>::clone(&clock));
    let client = Arc::new(dial(agent.address()).await);
    let busy = tokio::spawn({
        let (client, request) = (Arc::clone(&client), request(&agent, 1));
        async move { client.serve(request).await }
    });
    until("the slot is taken", || backend.ran().runs.len() == 1).await;
    let waiting = client.serve(request(&agent, 2));
    let suspend = async {
        loop {
            let fate = client.key_status(ask(key(), agent.incarnation(), false));
            if fate.await.expect("a reply").load.queued == 1 {
                break;
            }
        }
        clock.suspend(Duration::from_mins(1));
    };
    let (waiting, ()) = tokio::join!(waiting, suspend);
    assert_eq!(refusal(&waiting.expect("a reply")), Some(Refusal::Late));
    done_body(&busy.await.expect("no panic").expect("a reply"));
    assert_eq!(backend.ran().runs.len(), 1);
}

#[tokio::test]
async fn withdrawn_class_is_refused_until_it_is_resumed() {
    let backend = backend(8, Duration::ZERO).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    let version = |offset| Version(Position::new(Offset(offset), 0));
    let withdrawn = ConfigState {
        version: version(2),
        preset: None,
        withdrawals: vec![Withdrawal {
            selector: Selector::Class("seat-check".parse().expect("a valid name")),
            mode: StopMode::Finish,
            version: version(2),
        }],
    };
    let open = |offset| ConfigState {
        version: version(offset),
        preset: None,
        withdrawals: Vec::new(),
    };
    let held = client.configure(withdrawn).await.expect("a reply");
    assert_eq!(held, version(2));
    let reply = client.serve(request(&agent, 1)).await.expect("a reply");
    assert_eq!(refusal(&reply), Some(Refusal::Withdrawn));

    // An older state, from an entry that has not read on, changes nothing.
    let held = client.configure(open(1)).await.expect("a reply");
    assert_eq!(held, version(2));
    let reply = client.serve(request(&agent, 2)).await.expect("a reply");
    assert_eq!(refusal(&reply), Some(Refusal::Withdrawn));

    let held = client.configure(open(3)).await.expect("a reply");
    assert_eq!(held, version(3));
    done_body(&client.serve(request(&agent, 3)).await.expect("a reply"));
    assert_eq!(backend.ran().runs.len(), 1);
}

#[rstest]
#[case::another_incarnation(Refusal::Gone, |r: &mut ServeRequest| r.incarnation = Incarnation::new(7))]
#[case::cut_body(Refusal::Malformed, |r: &mut ServeRequest| r.body = cut_blob())]
#[case::no_time_left(Refusal::Late, |r: &mut ServeRequest| r.budget_ms = 0)]
#[case::key_too_old(Refusal::KeyTooOld, |r: &mut ServeRequest| r.key = Some(Key::from_parts(1, [0; 10])))]
#[tokio::test]
async fn unfit_request_does_not_run(#[case] reason: Refusal, #[case] spoil: fn(&mut ServeRequest)) {
    let backend = backend(8, Duration::ZERO).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    let mut request = request(&agent, 1);
    spoil(&mut request);
    let reply = client.serve(request).await.expect("a reply");
    assert_eq!(refusal(&reply), Some(reason));
    assert_eq!(backend.ran().runs.len(), 0);
}

/// A body that lost its end on the way.
fn cut_blob() -> Blob {
    let mut json = serde_json::to_value(Blob::new(b"whole body")).expect("a blob is JSON");
    json["data"] = "d2hvbGU=".into();
    serde_json::from_value(json).expect("a blob of the right shape")
}

#[tokio::test]
async fn backend_server_sees_the_trace_of_the_attempt() {
    let backend = backend(8, Duration::ZERO).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    let request = request(&agent, 1);
    let sent = request.trace;
    done_body(&client.serve(request).await.expect("a reply"));
    let seen = backend.ran().runs[0].trace.clone().expect("a traceparent");
    let seen: agate_core::TraceContext = seen.parse().expect("a valid traceparent");
    assert_eq!(seen.trace, sent.trace);
    assert_ne!(seen.span, sent.span);
}

#[tokio::test]
async fn server_that_crashes_is_started_again_on_the_same_address() {
    let backend = backend(8, Duration::ZERO).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    done_body(&client.serve(request(&agent, 1)).await.expect("a reply"));
    for child in ["rpc", "gate", "policy", "slowdown"] {
        agent.control().kill(child);
    }
    let served = async {
        loop {
            let client = dial(agent.address()).await;
            if let Ok(reply) = client.serve(request(&agent, 2)).await {
                done_body(&reply);
                return;
            }
        }
    };
    let served = tokio::time::timeout(crate::support::PATIENCE, served).await;
    assert!(served.is_ok(), "the agent serves again");
}
