//! Requests that may not be repeated.

use std::sync::Arc;
use std::time::Duration;

use agate_wire::message::{KeyStatus, KeyStatusRequest, Refusal, ServeResult};
use agate_wire::rpc::AgentRpcClient;
use rstest::rstest;
use standin_backend::Fault;

use crate::support::{Choice, ask, backend, dial, done_body, key, keyed, refusal, request, until};

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
    let fate = client.key_status(ask(key, agent.incarnation(), true)).await;
    assert_eq!(fate.expect("a reply").status, KeyStatus::NotRun);

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
            let fate = client.key_status(KeyStatusRequest {
                wait_ms: 0,
                ..ask(key, agent.incarnation(), false)
            });
            let heard = fate.await.expect("a reply");
            // Before it arrives the key is as little known as any other.
            if heard.load.queued == 1 {
                return heard.status;
            }
        }
    };
    assert_eq!(pending.await, KeyStatus::Pending);
    let fate = client.key_status(ask(key, agent.incarnation(), true)).await;
    assert_eq!(fate.expect("a reply").status, KeyStatus::NotRun);

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
    let mut callers = tokio::task::JoinSet::new();
    for (id, key) in [(1, first), (2, second)] {
        let (client, request) = (Arc::clone(&client), keyed(request(&agent, id), key));
        callers.spawn(async move { client.serve(request).await });
    }
    let other = dial(agent.address()).await;
    let both_known = async {
        loop {
            let fate = other
                .key_status(ask(key(), agent.incarnation(), false))
                .await;
            let load = fate.expect("a reply").load;
            if (load.running, load.queued) == (1, 1) {
                return;
            }
        }
    };
    both_known.await;
    callers.shutdown().await;
    let client = Arc::into_inner(client).expect("every caller is gone");
    drop(client);

    for key in [first, second] {
        let fate = other.key_status(ask(key, agent.incarnation(), false)).await;
        let fate = fate.expect("a reply").status;
        assert!(matches!(fate, KeyStatus::Done(_)), "{fate:?}");
    }
    assert_eq!(backend.ran().runs.len(), 2);
}

#[tokio::test]
async fn request_that_outlasts_its_deadline_goes_on_and_its_answer_is_kept() {
    let backend = backend(1, Duration::from_millis(500)).await;
    let agent = Choice::backend(backend.address()).start();
    let client = dial(agent.address()).await;
    let key = key();
    let mut short = keyed(request(&agent, 1), key);
    short.budget_ms = 100;
    let reply = client.serve(short).await.expect("a reply");
    assert!(
        matches!(reply.result, ServeResult::Failed { .. }),
        "{reply:?}"
    );
    let again = client.serve(keyed(request(&agent, 2), key)).await;
    assert_eq!(done_body(&again.expect("a reply")), b"body of 1");
    assert_eq!(backend.ran().runs.len(), 1);
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
    let fate = client.key_status(ask(key, agent.incarnation(), true)).await;
    let fate = fate.expect("a reply").status;
    assert!(matches!(fate, KeyStatus::Unanswered { .. }), "{fate:?}");
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
    assert_eq!(
        refusal(&reply.expect("a reply")),
        Some(Refusal::Unreachable)
    );
    let fate = client
        .key_status(ask(key, agent.incarnation(), false))
        .await;
    assert_eq!(fate.expect("a reply").status, KeyStatus::NotRun);
}
