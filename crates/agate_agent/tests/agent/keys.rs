//! Requests with an idempotency key, and requests that must not be repeated.

use std::sync::Arc;
use std::time::Duration;

use agate_wire::message::{KeyStatus, KeyStatusRequest, Refusal, ServeResult};
use agate_wire::rpc::AgentRpcClient;
use rstest::rstest;
use standin_backend::Fault;

use crate::support::{
    AgentOptions, answer_body, backend, connect_agent, key_query, new_key, refusal, request,
    wait_until, with_key,
};

#[tokio::test]
async fn key_retried_over_two_connections_runs_once() {
    let backend = backend(8, Duration::from_millis(100)).await;
    let agent = AgentOptions::backend(backend.address()).start();
    let (one, two) = (
        connect_agent(agent.address()).await,
        connect_agent(agent.address()).await,
    );
    let key = new_key();
    let first = one.serve(with_key(request(&agent, 1), key));
    let second = two.serve(with_key(request(&agent, 2), key));
    let (first, second) = tokio::join!(first, second);
    let (first, second) = (first.expect("a reply"), second.expect("a reply"));
    let third = two.serve(with_key(request(&agent, 3), key)).await;

    let body = answer_body(&first);
    assert_eq!(body, answer_body(&second));
    assert_eq!(body, answer_body(&third.expect("a reply")));
    assert_eq!((first.request, second.request), (1, 2));
    assert_eq!(backend.ran().runs.len(), 1);
}

#[tokio::test]
async fn key_tombstoned_before_its_start_never_runs() {
    let backend = backend(8, Duration::ZERO).await;
    let agent = AgentOptions::backend(backend.address()).start();
    let client = connect_agent(agent.address()).await;
    let key = new_key();
    let status = client
        .key_status(key_query(key, agent.incarnation(), true))
        .await;
    assert_eq!(status.expect("a reply").status, KeyStatus::NotRun);

    let late = client.serve(with_key(request(&agent, 1), key)).await;
    assert_eq!(refusal(&late.expect("a reply")), Some(Refusal::Tombstoned));
    assert_eq!(backend.ran().runs.len(), 0);
}

#[tokio::test]
async fn key_tombstoned_while_queued_never_runs() {
    let backend = backend(1, Duration::from_secs(2)).await;
    let mut options = AgentOptions::backend(backend.address());
    options.slots = 1;
    let agent = options.start();
    let client = Arc::new(connect_agent(agent.address()).await);
    let blocking_request = tokio::spawn({
        let (client, request) = (Arc::clone(&client), request(&agent, 1));
        async move { client.serve(request).await }
    });
    wait_until("the slot is taken", || backend.ran().runs.len() == 1).await;
    let key = new_key();
    let waiting = tokio::spawn({
        let (client, request) = (Arc::clone(&client), with_key(request(&agent, 2), key));
        async move { client.serve(request).await }
    });
    let pending = async {
        loop {
            let status = client.key_status(KeyStatusRequest {
                wait_ms: 0,
                ..key_query(key, agent.incarnation(), false)
            });
            let key_reply = status.await.expect("a reply");
            // Until the request arrives, the key is pending like any unknown key.
            if key_reply.load.queued == 1 {
                return key_reply.status;
            }
        }
    };
    assert_eq!(pending.await, KeyStatus::Pending);
    let status = client
        .key_status(key_query(key, agent.incarnation(), true))
        .await;
    assert_eq!(status.expect("a reply").status, KeyStatus::NotRun);

    let waiting = waiting.await.expect("no panic").expect("a reply");
    assert_eq!(refusal(&waiting), Some(Refusal::Tombstoned));
    // The queued request is refused at once, while the slot is still taken.
    assert_eq!(backend.ran().runs[0].end_ms, None);
    answer_body(&blocking_request.await.expect("no panic").expect("a reply"));
    let last = client.serve(request(&agent, 3)).await.expect("a reply");
    answer_body(&last);
    let keys = backend.ran().runs.into_iter().filter_map(|run| run.key);
    assert_eq!(keys.count(), 0);
}

#[tokio::test]
async fn closed_connection_cancels_no_request() {
    let backend = backend(1, Duration::from_millis(200)).await;
    let mut options = AgentOptions::backend(backend.address());
    options.slots = 1;
    let agent = options.start();
    let (first, second) = (new_key(), new_key());
    let client = Arc::new(connect_agent(agent.address()).await);
    let mut callers = tokio::task::JoinSet::new();
    for (id, key) in [(1, first), (2, second)] {
        let (client, request) = (Arc::clone(&client), with_key(request(&agent, id), key));
        callers.spawn(async move { client.serve(request).await });
    }
    let other = connect_agent(agent.address()).await;
    let both_known = async {
        loop {
            let status = other
                .key_status(key_query(new_key(), agent.incarnation(), false))
                .await;
            let load = status.expect("a reply").load;
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
        let status = other
            .key_status(key_query(key, agent.incarnation(), false))
            .await;
        let status = status.expect("a reply").status;
        assert!(matches!(status, KeyStatus::Done(_)), "{status:?}");
    }
    assert_eq!(backend.ran().runs.len(), 2);
}

#[tokio::test]
async fn request_past_its_deadline_continues_and_its_answer_is_stored() {
    let backend = backend(1, Duration::from_millis(500)).await;
    let agent = AgentOptions::backend(backend.address()).start();
    let client = connect_agent(agent.address()).await;
    let key = new_key();
    let mut short = with_key(request(&agent, 1), key);
    short.budget_ms = 100;
    let reply = client.serve(short).await.expect("a reply");
    assert!(
        matches!(reply.result, ServeResult::Failed { .. }),
        "{reply:?}"
    );
    let again = client.serve(with_key(request(&agent, 2), key)).await;
    assert_eq!(answer_body(&again.expect("a reply")), b"body of 1");
    assert_eq!(backend.ran().runs.len(), 1);
}

#[rstest]
#[case::another_request(Fault::WrongRequest)]
#[case::truncated(Fault::Cut)]
#[case::closed(Fault::Close)]
#[tokio::test]
async fn incomplete_or_foreign_answer_is_never_delivered(#[case] fault: Fault) {
    let backend = backend(8, Duration::ZERO).await;
    let agent = AgentOptions::backend(backend.address()).start();
    let client = connect_agent(agent.address()).await;
    // The first exchange leaves a connection for reuse.
    answer_body(&client.serve(request(&agent, 1)).await.expect("a reply"));
    backend.set_fault(fault);
    let key = new_key();
    let reply = client.serve(with_key(request(&agent, 2), key)).await;
    let reply = reply.expect("a reply");
    assert!(
        matches!(reply.result, ServeResult::Failed { .. }),
        "{reply:?}"
    );
    backend.set_fault(Fault::None);

    let again = client.serve(with_key(request(&agent, 3), key)).await;
    let again = again.expect("a reply");
    assert!(
        matches!(again.result, ServeResult::Failed { .. }),
        "{again:?}"
    );
    let status = client
        .key_status(key_query(key, agent.incarnation(), true))
        .await;
    let status = status.expect("a reply").status;
    assert!(matches!(status, KeyStatus::Unanswered { .. }), "{status:?}");
    assert_eq!(backend.ran().runs.len(), 2);
    answer_body(&client.serve(request(&agent, 4)).await.expect("a reply"));
}

#[tokio::test]
async fn request_is_not_sent_again_when_its_connection_closes() {
    let backend = backend(8, Duration::ZERO).await;
    let agent = AgentOptions::backend(backend.address()).start();
    let client = connect_agent(agent.address()).await;
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
async fn request_to_an_unreachable_backend_is_refused_and_does_not_run() {
    let address = backend(1, Duration::ZERO).await.address();
    let agent = AgentOptions::backend(address).start();
    let client = connect_agent(agent.address()).await;
    let key = new_key();
    let refused = async {
        loop {
            // The stand-in may not have closed its listener yet.
            let reply = client.serve(request(&agent, 1)).await.expect("a reply");
            if refusal(&reply).is_some() {
                return;
            }
        }
    };
    refused.await;
    let reply = client.serve(with_key(request(&agent, 2), key)).await;
    assert_eq!(
        refusal(&reply.expect("a reply")),
        Some(Refusal::Unreachable)
    );
    let status = client
        .key_status(key_query(key, agent.incarnation(), false))
        .await;
    assert_eq!(status.expect("a reply").status, KeyStatus::NotRun);
}
