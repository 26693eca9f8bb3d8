//! The operator API: presets, withdrawals and the token.

use http::StatusCode;
use rstest::rstest;
use serde_json::json;

use crate::support::{
    Answer, Behaviour, Http, caller_client, eventually, header, operator_client, start_backend,
    start_entry, start_entry_on, start_log, take_log_down, value,
};

async fn publish(operator: &Http, name: &str) -> Answer {
    let body = json!({"name": name, "preset": {"kind": "peak"}});
    operator.post("/v1/presets", body.to_string()).await
}

async fn switch(operator: &Http, name: &str, expected: &str) -> Answer {
    let body = json!({"name": name, "expected": expected});
    operator.post("/v1/presets/switch", body.to_string()).await
}

#[rstest]
#[case::missing(None)]
#[case::wrong(Some("Bearer 0123456789abcdee"))]
#[case::longer(Some("Bearer 0123456789abcdef0"))]
#[case::other_scheme(Some("Basic 0123456789abcdef"))]
#[tokio::test]
async fn wrong_token_is_rejected_by_every_endpoint(#[case] token: Option<&str>) {
    let entry = start_entry().await;
    let mut operator = Http::new(entry.operator_address());
    if let Some(token) = token {
        operator = operator.with("authorization", token);
    }
    for path in [
        "/v1/presets",
        "/v1/presets/in-force",
        "/v1/presets/history",
        "/v1/withdrawals",
        "/v1/members",
        "/v1/jobs",
        "/v1/jobs/2a",
    ] {
        let answer = operator.get(path).await;
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{path}");
    }
    for path in [
        "/v1/presets",
        "/v1/presets/switch",
        "/v1/withdrawals",
        "/v1/jobs",
    ] {
        let answer = operator.post(path, "{}").await;
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{path}");
    }
    for path in ["/v1/withdrawals", "/v1/jobs/2a"] {
        let answer = operator.delete(path).await;
        assert_eq!(answer.status(), StatusCode::UNAUTHORIZED, "{path}");
    }
}

#[tokio::test]
async fn health_and_metrics_need_no_token() {
    let entry = start_entry().await;
    let (_agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    caller_client(&entry)
        .post("/v1/requests/seat-check", "")
        .await;
    let monitor = Http::new(entry.operator_address());
    assert_eq!(value(&monitor.get("/health").await)["status"], "serving");
    let metrics = monitor.get("/metrics").await;
    let text = crate::support::text(&metrics);
    let line = r#"agate_entry_requests_total{class="seat-check",outcome="done"} 1"#;
    assert!(text.contains(line), "{text}");
}

#[tokio::test]
async fn concurrent_switches_have_one_winner_and_one_conflict() {
    let log = start_log().await;
    let (first, second) = (
        start_entry_on(&log, vec![]).await,
        start_entry_on(&log, vec![]).await,
    );
    let (left, right) = (operator_client(&first), operator_client(&second));
    for name in ["ordinary", "peak"] {
        let published = publish(&left, name).await;
        assert_eq!(published.status(), StatusCode::CREATED);
    }
    let (left_answer, right_answer) = tokio::join!(
        switch(&left, "ordinary", "0+0"),
        switch(&right, "peak", "0+0")
    );
    let mut answers = [("ordinary", left_answer), ("peak", right_answer)];
    answers.sort_by_key(|(_, answer)| answer.status());
    let [(winner, won), (_, lost)] = answers;
    assert_eq!(won.status(), StatusCode::OK);
    assert_eq!(lost.status(), StatusCode::CONFLICT);
    assert_eq!(value(&lost)["in_force"], winner);
    for operator in [&left, &right] {
        eventually("both entries agree", async || {
            value(&operator.get("/v1/presets/in-force").await)["name"] == winner
        })
        .await;
    }
    let history = value(&left.get("/v1/presets/history").await);
    assert_eq!(history["switches"].as_array().unwrap().len(), 1);
}

#[tokio::test]
async fn invalid_preset_is_rejected_with_every_finding() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let operator = operator_client(&entry);
    let body = json!({"name": "Peak!", "extra": 1, "preset": {"kind": "peek", "routing": {"candidates": 0}}});
    let answer = operator.post("/v1/presets", body.to_string()).await;
    assert_eq!(answer.status(), StatusCode::BAD_REQUEST);
    let findings = value(&answer)["findings"].clone();
    let places: Vec<&str> = findings
        .as_array()
        .unwrap()
        .iter()
        .map(|finding| finding["place"].as_str().unwrap())
        .collect();
    assert_eq!(
        places,
        ["name", "extra", "preset.kind", "preset.routing.candidates"]
    );
    let list = value(&operator.get("/v1/presets").await);
    assert_eq!(list["presets"], json!([]));
}

#[tokio::test]
async fn configuration_reaches_agents_and_an_entry_started_during_a_log_outage() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let operator = operator_client(&entry);
    publish(&operator, "peak").await;
    switch(&operator, "peak", "0+0").await;
    eventually("the agent is told", async || {
        let state = agent.lock();
        let preset = state.config.as_ref().and_then(|c| c.preset.as_ref());
        preset.is_some_and(|preset| preset.name == "peak")
    })
    .await;
    take_log_down(&log);
    let limits = crate::support::short_limits();
    let late =
        crate::support::start_entry_with(log.address(), vec![entry.rpc_address()], limits).await;
    let operator = operator_client(&late);
    eventually("the new entry is told by its peer", async || {
        value(&operator.get("/v1/presets/in-force").await)["name"] == "peak"
    })
    .await;
    let refused = publish(&operator, "ordinary").await;
    assert_eq!(refused.status(), StatusCode::SERVICE_UNAVAILABLE);
    assert!(!header(&refused, "retry-after").is_empty());
}

#[tokio::test]
async fn withdrawn_class_is_rejected_until_it_is_resumed() {
    let log = start_log().await;
    let entry = start_entry_on(&log, vec![]).await;
    let (agent, _heartbeats) = start_backend(&entry, 1, Behaviour::Answer).await;
    let operator = operator_client(&entry);
    let body = r#"{"class": "bench-bind", "mode": "finish"}"#;
    let withdrawn = operator.post("/v1/withdrawals", body).await;
    assert_eq!(withdrawn.status(), StatusCode::OK);
    let answer = caller_client(&entry)
        .post("/v1/requests/bench-bind", "")
        .await;
    assert_eq!(header(&answer, "agate-outcome"), "not-run");
    assert_eq!(agent.lock().attempts, 0);
    let path = "/v1/withdrawals";
    let resumed = operator
        .delete_with(path, r#"{"class": "bench-bind"}"#)
        .await;
    assert_eq!(value(&resumed)["withdrawals"], json!([]));
    let again = operator
        .delete_with(path, r#"{"class": "bench-bind"}"#)
        .await;
    assert_eq!(again.status(), StatusCode::NOT_FOUND);
    let answer = caller_client(&entry)
        .post("/v1/requests/bench-bind", "")
        .await;
    assert_eq!(header(&answer, "agate-outcome"), "done");
}
