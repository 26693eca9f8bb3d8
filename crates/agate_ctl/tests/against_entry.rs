//! Commands sent to a running entry and log.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use agate_core::{RegionName, Site, ZoneName};
use agate_ctl::{ExitStatus, Report, parse, run};
use agate_entry::{EntryConfig, Limits, Running};
use agate_settings::Secret;
use rstest::rstest;
use standin_log::{Config, Faults, Handle};

const TOKEN: &str = "0123456789abcdef";

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().expect("an address")
}

async fn start_log() -> Handle {
    let limits = standin_log::Limits {
        retention: Duration::from_hours(1),
        appends_per_second: 500,
    };
    let config = Config::builder().listen(any_port()).limits(limits).build();
    standin_log::serve(config).await.expect("the log starts")
}

async fn start_entry(log: &Handle) -> Running {
    let site = Site {
        region: RegionName::new("khomas").expect("a region"),
        zone: ZoneName::new("khomas-1").expect("a zone"),
    };
    let config = EntryConfig::builder()
        .caller_listen(any_port())
        .operator_listen(any_port())
        .rpc_listen(any_port())
        .site(site)
        .log(log.address())
        .token(Secret::new(TOKEN))
        .limits(Limits::builder().build())
        .build();
    agate_entry::start(config).await.expect("the entry starts")
}

fn write_file(name: &str, text: &str) -> PathBuf {
    let folder = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
    let path = folder.join(format!("{}-{name}", std::process::id()));
    std::fs::write(&path, text).expect("the file is written");
    path
}

async fn run_command(entries: &[SocketAddr], token: &str, args: &[&str]) -> Report {
    let entries: Vec<String> = entries.iter().map(ToString::to_string).collect();
    let mut all = vec![
        format!("--entry={}", entries.join(",")),
        format!("--token={token}"),
    ];
    all.extend(args.iter().map(ToString::to_string));
    run(&parse(&all).expect("the command line is valid")).await
}

#[tokio::test]
async fn preset_is_published_and_switched_and_a_stale_switch_is_a_conflict() {
    let log = start_log().await;
    let entry = start_entry(&log).await;
    let entries = [entry.operator_address()];
    let peak = write_file("peak.json", r#"{"kind": "peak"}"#);
    let peak = peak.to_str().expect("a path");
    let publish = ["preset", "publish", "--name", "peak", peak];
    assert_eq!(
        run_command(&entries, TOKEN, &publish).await.status,
        ExitStatus::Done
    );
    let switch = ["preset", "switch", "peak"];
    let switched = run_command(&entries, TOKEN, &switch).await;
    assert_eq!(switched.status, ExitStatus::Done, "{}", switched.message);
    assert!(switched.output.contains("peak"), "{}", switched.output);
    let stale = ["preset", "switch", "--expected=0+0", "peak"];
    let lost = run_command(&entries, TOKEN, &stale).await;
    assert_eq!(lost.status, ExitStatus::Conflict);
    assert!(lost.message.contains("peak"), "{}", lost.message);
    let unknown = run_command(&entries, TOKEN, &["preset", "switch", "gone"]).await;
    assert_eq!(unknown.status, ExitStatus::Refused);
}

#[tokio::test]
async fn job_is_submitted_once_if_the_first_entry_is_unreachable_and_the_command_is_repeated() {
    let log = start_log().await;
    let entry = start_entry(&log).await;
    let unreachable: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let entries = [unreachable, entry.operator_address()];
    let job =
        r#"{"job": "2a", "team": "board", "class": "rebalance", "resources": {"millicores": 1}}"#;
    let job = write_file("job.json", job);
    let job = job.to_str().expect("a path");
    for _ in 0..2 {
        let submitted = run_command(&entries, TOKEN, &["job", "submit", job]).await;
        assert_eq!(submitted.status, ExitStatus::Done, "{}", submitted.message);
    }
    let list = run_command(&entries, TOKEN, &["--output=json", "job", "list"]).await;
    assert_eq!(
        list.output.matches("000000000000002a").count(),
        1,
        "{}",
        list.output
    );
    let cancelled = run_command(&entries, TOKEN, &["job", "cancel", "2a"]).await;
    assert!(
        cancelled.output.contains("cancelled"),
        "{}",
        cancelled.output
    );
}

#[rstest]
#[case::wrong_token("fedcba9876543210", &["members"], ExitStatus::Unauthorized)]
#[case::nothing_to_resume(TOKEN, &["resume", "--class", "rebalance"], ExitStatus::Refused)]
#[case::no_such_job(TOKEN, &["job", "status", "7"], ExitStatus::Refused)]
#[case::no_such_file(TOKEN, &["job", "submit", "/no/such/file"], ExitStatus::Usage)]
#[tokio::test]
async fn refused_command_has_the_exit_code_of_its_cause(
    #[case] token: &str,
    #[case] args: &[&str],
    #[case] expected: ExitStatus,
) {
    let log = start_log().await;
    let entry = start_entry(&log).await;
    let report = run_command(&[entry.operator_address()], token, args).await;
    assert_eq!(report.status, expected, "{}", report.message);
}

#[tokio::test]
async fn invalid_preset_prints_every_finding() {
    let log = start_log().await;
    let entry = start_entry(&log).await;
    let preset = write_file(
        "bad.json",
        r#"{"kind": "peek", "routing": {"candidates": 0}}"#,
    );
    let preset = preset.to_str().expect("a path");
    let publish = ["preset", "publish", "--name", "bad", preset];
    let report = run_command(&[entry.operator_address()], TOKEN, &publish).await;
    assert_eq!(report.status, ExitStatus::Usage);
    insta::assert_snapshot!(report.message, @r#"
    the request was refused as a whole; correct each finding
    preset.kind: expected one of ordinary, peak, maintenance, found "peek"
    preset.routing.candidates: expected a whole number from 1 to 16, found 0
    "#);
}

#[tokio::test]
async fn log_outage_and_unreachable_entry_have_their_exit_codes() {
    let log = start_log().await;
    let entry = start_entry(&log).await;
    let entries = [entry.operator_address()];
    run_command(&entries, TOKEN, &["withdraw", "--class", "a"]).await;
    log.set_faults(Faults {
        outage: true,
        ..Faults::default()
    });
    let down = run_command(&entries, TOKEN, &["withdraw", "--class", "b"]).await;
    assert!(
        matches!(down.status, ExitStatus::LogDown | ExitStatus::Unknown),
        "{}",
        down.message
    );
    let unreachable: SocketAddr = "127.0.0.1:1".parse().expect("an address");
    let absent = run_command(&[unreachable], TOKEN, &["members"]).await;
    assert_eq!(absent.status, ExitStatus::Unreachable);
}

/// Guards against a command that arrives while an entry rebuilds its state: it was recorded but
/// reported as unknown, because its record was already part of the rebuilt state.
#[tokio::test]
async fn command_during_the_start_of_an_entry_gets_a_definitive_response() {
    let log = start_log().await;
    log.set_faults(Faults {
        slow_ms: 1_000,
        ..Faults::default()
    });
    let entry = start_entry(&log).await;
    // Lets the first read of the rebuild start, which the fault delays.
    tokio::time::sleep(Duration::from_millis(50)).await;
    log.set_faults(Faults::default());
    let resume = ["resume", "--class", "rebalance"];
    let report = run_command(&[entry.operator_address()], TOKEN, &resume).await;
    assert_eq!(report.status, ExitStatus::Refused, "{}", report.message);
}
