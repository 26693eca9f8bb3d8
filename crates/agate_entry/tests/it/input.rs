//! Invalid input: every finding is reported, and nothing reaches the log or an agent.

use agate_core::{Key, clock};
use http::StatusCode;
use rstest::rstest;
use serde_json::json;

use crate::support::{
    Answer, Behaviour, caller_client, start_backend, start_entry, start_entry_on, start_log, text,
    value,
};

fn places(answer: &Answer) -> Vec<String> {
    let value = value(answer);
    let findings = value["findings"].as_array().unwrap();
    findings
        .iter()
        .map(|finding| finding["place"].as_str().unwrap().to_owned())
        .collect()
}

#[tokio::test]
async fn invalid_headers_and_body_are_reported_together() {
    let entry = start_entry().await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let caller = caller_client(&entry)
        .with("agate-caller", "The Family")
        .with("agate-deadline-ms", "0")
        .with("idempotency-key", "7");
    let body = vec![0; 1024 * 1024 + 1];
    let answer = caller.post("/v1/requests/Bench", body).await;
    assert_eq!(answer.status(), StatusCode::PAYLOAD_TOO_LARGE);
    assert_eq!(
        places(&answer),
        [
            "path.class",
            "agate-caller",
            "agate-deadline-ms",
            "idempotency-key",
            "body"
        ]
    );
    assert_eq!(agent.lock().attempts, 0);
}

#[rstest]
#[case::deadline_in_the_past("agate-deadline-ms", "-5", "expected the milliseconds left")]
#[case::deadline_too_far("agate-deadline-ms", "86400001", "expected the milliseconds left")]
#[case::forged_ticket("agate-ticket", "Zm9yZ2Vk", "not a ticket")]
#[case::old_key(
    "idempotency-key",
    "0188f3b0-5c00-7000-8000-000000000000",
    "older than the window"
)]
#[case::other_version(
    "idempotency-key",
    "6ba7b810-9dad-41d1-80b4-00c04fd430c8",
    "UUID of version 7"
)]
#[tokio::test]
async fn invalid_header_is_reported_by_name(
    #[case] name: &'static str,
    #[case] header: &str,
    #[case] message: &str,
) {
    let entry = start_entry().await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let caller = caller_client(&entry).with(name, header);
    let answer = caller.post("/v1/requests/bench-bind", "").await;
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    assert_eq!(places(&answer), [name]);
    assert!(text(&answer).contains(message), "{}", text(&answer));
    assert_eq!(agent.lock().attempts, 0);
}

#[tokio::test]
async fn key_and_ticket_together_are_rejected() {
    let entry = start_entry().await;
    let key = Key::from_parts(clock::wall_millis(), [7; 10]);
    let caller = caller_client(&entry)
        .with("idempotency-key", key.to_string())
        .with("agate-ticket", "x");
    let answer = caller.post("/v1/requests/bench-bind", "").await;
    assert_eq!(places(&answer), ["idempotency-key"]);
}

/// A limit that is off by one would reject the largest allowed body. Without optimization, its checksums
/// take about a quarter of the default deadline, more on a busy machine.
#[tokio::test]
async fn body_at_the_size_limit_is_accepted() {
    let entry = start_entry().await;
    let (_agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let body = vec![b'a'; 1024 * 1024 - "echo:".len()];
    let answer = caller_client(&entry)
        .with("agate-deadline-ms", "60000")
        .post("/v1/requests/bench-bind", body)
        .await;
    assert_eq!(answer.status(), StatusCode::OK);
    assert_eq!(answer.body().len(), 1024 * 1024);
}

#[tokio::test]
async fn invalid_submission_lists_every_finding_and_writes_no_record() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let body = json!({
        "job": "zz",
        "team": "Board",
        "tags": ["season:2026", "Bad Tag"],
        "tasks": 0,
        "resources": {"millicores": 0, "cores": 2},
        "when": "now",
    });
    let answer = caller_client(&entry)
        .post("/v1/jobs", body.to_string())
        .await;
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    assert_eq!(
        places(&answer),
        [
            "job",
            "team",
            "class",
            "tags[1]",
            "tasks",
            "resources.cores",
            "resources",
            "when"
        ]
    );
    let jobs = value(&caller_client(&entry).get("/v1/jobs").await);
    assert_eq!(jobs["jobs"], json!([]));
}

#[rstest]
#[case::not_json("{")]
#[case::not_an_object("[]")]
#[case::nothing("")]
#[tokio::test]
async fn malformed_json_is_reported_as_a_document_finding(#[case] body: &'static str) {
    let entry = start_entry().await;
    for path in ["/v1/jobs", "/v1/tickets"] {
        let answer = caller_client(&entry).post(path, body).await;
        assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
        assert_eq!(places(&answer)[0], "document", "{path}");
    }
}
