//! Urgent requests.

use std::sync::Arc;
use std::time::Duration;

use agate_core::ids::Offset;
use agate_core::{Incarnation, Key, Position, Version};
use agate_wire::Blob;
use agate_wire::message::{
    ConfigState, Fate, FateRequest, Refusal, Selector, ServeReply, ServeRequest, ServeResult,
    StopMode, Withdrawal,
};
use agate_wire::rpc::AgentRpcClient;
use rstest::rstest;
use standin_backend::{Config, Fault, Handle, ServiceTime, serve};

use crate::support::{Choice, SuspendableClock, dial, key, request, until};

async fn backend(slots: u32, service: Duration) -> Handle {
    let config = Config::builder()
        .slots(slots)
        .service(ServiceTime::Fixed(service))
        .build();
    serve(config).await.expect("loopback has free ports")
}

fn done_body(reply: &ServeReply) -> Vec<u8> {
    let ServeResult::Done(answer) = &reply.result else {
        panic!("expected an answer, found {:?}", reply.result);
    };
    answer.body.open().expect("the answer is whole")
}

fn refusal(reply: &ServeReply) -> Option<Refusal> {
    match &reply.result {
        ServeResult::Refused { reason, .. } => Some(*reason),
        ServeResult::Done(_) | ServeResult::Failed { .. } => None,
    }
}

fn keyed(mut request: ServeRequest, key: Key) -> ServeRequest {
    request.key = Some(key);
    request
}

fn ask(key: Key, incarnation: Incarnation, tombstone: bool) -> FateRequest {
    FateRequest {
        key,
        incarnation,
        tombstone,
        wait_ms: 10_000,
    }
}

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
async fn retried_key_runs_once_over_two_connections() {
    let backend = backend(8, Duration::from_millis(100)).await;
    let agent = Choice::backend(backend.address()).start();
    let (one, two) = (dial(agent.address()).await, dial(agent.address()).await);
    let key = key();
    let first = one.serve(keyed(request(&agent, 1), key));
    let second = two.serve(keyed(request(&agent, 2), key));
    let (first, second) = tokio::join!(first, second);
    let (first, second) = (first.expect("a reply"), second.expect("a reply"));
    let third = two.serve(keyed(request(&agent, 3), key)).await;

    let body = done_body(&first);
    assert_eq!(body, done_body(&second));
    assert_eq!(body, done_body(&third.expect("a reply")));
    assert_eq!((first.request, second.request), (1, 2));
    assert_eq!(backend.ran().runs.len(), 1);
}

#[tokio::test]
async fn key_tombstoned_before_its_start_never_runs() {
    let backend = backend(8, Duration::ZERO).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    let key = key();
    let fate = client.fate(ask(key, agent.incarnation(), true)).await;
    assert_eq!(fate.expect("a reply").fate, Fate::NotRun);

    let late = client.serve(keyed(request(&agent, 1), key)).await;
    assert_eq!(refusal(&late.expect("a reply")), Some(Refusal::Tombstoned));
    assert_eq!(backend.ran().runs.len(), 0);
}

#[tokio::test]
async fn key_tombstoned_while_it_waits_never_runs() {
    let backend = backend(1, Duration::from_secs(2)).await;
    let mut choice = Choice::backend(backend.address());
    choice.slots = 1;
    let agent = choice.start();
    let client = Arc::new(dial(agent.address()).await);
    let busy = tokio::spawn({
        let (client, request) = (Arc::clone(&client), request(&agent, 1));
        async move { client.serve(request).await }
    });
    until("the slot is taken", || backend.ran().runs.len() == 1).await;
    let key = key();
    let waiting = tokio::spawn({
        let (client, request) = (Arc::clone(&client), keyed(request(&agent, 2), key));
        async move { client.serve(request).await }
    });
    let pending = async {
        loop {
            let fate = client.fate(FateRequest {
                wait_ms: 0,
                ..ask(key, agent.incarnation(), false)
            });
            let heard = fate.await.expect("a reply");
            // Before it arrives the key is as little known as any other.
            if heard.load.queued == 1 {
                return heard.fate;
            }
        }
    };
    assert_eq!(pending.await, Fate::Pending);
    let fate = client.fate(ask(key, agent.incarnation(), true)).await;
    assert_eq!(fate.expect("a reply").fate, Fate::NotRun);

    let waiting = waiting.await.expect("no panic").expect("a reply");
    assert_eq!(refusal(&waiting), Some(Refusal::Tombstoned));
    // It is told at once, not when the slot is free.
    assert_eq!(backend.ran().runs[0].end_ms, None);
    done_body(&busy.await.expect("no panic").expect("a reply"));
    let last = client.serve(request(&agent, 3)).await.expect("a reply");
    done_body(&last);
    let keys = backend.ran().runs.into_iter().filter_map(|run| run.key);
    assert_eq!(keys.count(), 0);
}

#[tokio::test]
async fn dropped_connection_cancels_nothing() {
    let backend = backend(1, Duration::from_millis(200)).await;
    let mut choice = Choice::backend(backend.address());
    choice.slots = 1;
    let agent = choice.start();
    let (first, second) = (key(), key());
    let client = Arc::new(dial(agent.address()).await);
    for (id, key) in [(1, first), (2, second)] {
        let (client, request) = (Arc::clone(&client), keyed(request(&agent, id), key));
        tokio::spawn(async move { client.serve(request).await });
    }
    let other = dial(agent.address()).await;
    let both_known = async {
        loop {
            let fate = other.fate(ask(key(), agent.incarnation(), false)).await;
            let load = fate.expect("a reply").load;
            if (load.running, load.queued) == (1, 1) {
                return;
            }
        }
    };
    both_known.await;
    drop(client);

    for key in [first, second] {
        let fate = other.fate(ask(key, agent.incarnation(), false)).await;
        let fate = fate.expect("a reply").fate;
        assert!(matches!(fate, Fate::Done(_)), "{fate:?}");
    }
    assert_eq!(backend.ran().runs.len(), 2);
}

#[rstest]
#[case::another_request(Fault::WrongRequest)]
#[case::cut(Fault::Cut)]
#[case::closed(Fault::Close)]
#[tokio::test]
async fn answer_that_is_not_whole_and_own_is_never_delivered(#[case] fault: Fault) {
    let backend = backend(8, Duration::ZERO).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    // A first exchange leaves a connection to reuse.
    done_body(&client.serve(request(&agent, 1)).await.expect("a reply"));
    backend.set_fault(fault);
    let key = key();
    let reply = client.serve(keyed(request(&agent, 2), key)).await;
    let reply = reply.expect("a reply");
    assert!(
        matches!(reply.result, ServeResult::Failed { .. }),
        "{reply:?}"
    );
    backend.set_fault(Fault::None);

    let again = client.serve(keyed(request(&agent, 3), key)).await;
    let again = again.expect("a reply");
    assert!(
        matches!(again.result, ServeResult::Failed { .. }),
        "{again:?}"
    );
    let fate = client.fate(ask(key, agent.incarnation(), true)).await;
    let fate = fate.expect("a reply").fate;
    assert!(matches!(fate, Fate::Unanswered { .. }), "{fate:?}");
    assert_eq!(backend.ran().runs.len(), 2);
    done_body(&client.serve(request(&agent, 4)).await.expect("a reply"));
}

#[tokio::test]
async fn request_is_not_sent_again_when_its_connection_closes() {
    let backend = backend(8, Duration::ZERO).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    backend.set_fault(Fault::Close);
    for id in 0..10 {
        let reply = client.serve(request(&agent, id)).await.expect("a reply");
        assert!(
            matches!(reply.result, ServeResult::Failed { .. }),
            "{reply:?}"
        );
    }
    assert_eq!(backend.ran().runs.len(), 10);
}

#[tokio::test]
async fn backend_that_does_not_listen_is_a_proof_that_nothing_ran() {
    let address = backend(1, Duration::ZERO).await.address();
    let agent = Choice::backend(address).start();
    let client = dial(agent.address()).await;
    let key = key();
    let refused = async {
        loop {
            // The stand-in may take a moment to close its listener.
            let reply = client.serve(request(&agent, 1)).await.expect("a reply");
            if refusal(&reply).is_some() {
                return;
            }
        }
    };
    refused.await;
    let reply = client.serve(keyed(request(&agent, 2), key)).await;
    assert_eq!(refusal(&reply.expect("a reply")), Some(Refusal::Full));
    let fate = client.fate(ask(key, agent.incarnation(), false)).await;
    assert_eq!(fate.expect("a reply").fate, Fate::NotRun);
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
            let fate = client.fate(ask(key(), agent.incarnation(), false));
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
            let fate = client.fate(ask(key(), agent.incarnation(), false));
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
