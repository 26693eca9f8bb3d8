//! Human-readable tables.

use agate_core::JobId;
use agate_ctl::{Command, JobCommand, PresetCommand, table};
use serde_json::{Value, json};

fn format_table(command: &Command, response: &Value) -> String {
    table(command, response.to_string().as_bytes()).expect("the response is valid")
}

#[test]
fn published_presets_are_listed() {
    let response = json!({"presets": [
        {"name": "ordinary", "kind": "ordinary", "version": "3+0", "operator": "ruth"},
        {"name": "high-holy-days", "kind": "peak", "version": "12+1", "operator": "operator"},
    ]});
    let command = Command::Preset(PresetCommand::List);
    insta::assert_snapshot!(format_table(&command, &response), @r"
    NAME            KIND      VERSION  OPERATOR
    ordinary        ordinary  3+0      ruth
    high-holy-days  peak      12+1     operator
    ");
}

#[test]
fn preset_in_force_is_shown_with_its_contents() {
    let response = json!({"name": "peak", "version": "14+0", "preset": {"kind": "peak"}});
    let command = Command::Preset(PresetCommand::Show);
    insta::assert_snapshot!(format_table(&command, &response), @r#"
    IN FORCE  VERSION
    peak      14+0

    {
      "kind": "peak"
    }
    "#);
}

#[test]
fn missing_preset_in_force_is_shown_as_none() {
    let response = json!({"name": null, "version": "0+0", "preset": null});
    let command = Command::Preset(PresetCommand::Show);
    insta::assert_snapshot!(format_table(&command, &response), @r"
    IN FORCE  VERSION
    (none)    0+0
    ");
}

#[test]
fn switches_are_listed() {
    let response = json!({"switches": [
        {"name": "peak", "version": "14+0", "operator": "ruth", "wall_ms": 1_765_000_000_000_u64},
    ]});
    let command = Command::Preset(PresetCommand::History);
    insta::assert_snapshot!(format_table(&command, &response), @r"
    NAME  VERSION  OPERATOR  UNIX MS
    peak  14+0     ruth      1765000000000
    ");
}

#[test]
fn withdrawals_are_listed() {
    let response = json!({"withdrawals": [
        {"selector": {"class": "rebalance"}, "mode": "checkpoint", "version": "20+0"},
        {"selector": {"tag": "season:2026"}, "mode": "stop", "version": "21+0"},
    ]});
    insta::assert_snapshot!(format_table(&Command::Withdrawals, &response), @r"
    KIND   WITHDRAWN    MODE        VERSION
    class  rebalance    checkpoint  20+0
    tag    season:2026  stop        21+0
    ");
}

#[test]
fn failures_of_a_job_are_listed_below_it() {
    let response = json!({
        "job": "000000000000002a", "caller": "gabbai", "class": "rebalance", "phase": "failed",
        "tasks": 3, "running": 0, "finished": 1, "failed": 1, "impossible": 1, "cancelled": 0,
        "failures": [
            {"index": 1, "reason": "exit code 9"},
            {"index": 2, "reason": "a task needs more memory than any worker has"},
        ],
    });
    let command = Command::Job(JobCommand::Status(JobId(42)));
    insta::assert_snapshot!(format_table(&command, &response), @r"
    JOB               CLASS      CALLER  PHASE   TASKS  RUNNING  FINISHED  FAILED  IMPOSSIBLE  CANCELLED
    000000000000002a  rebalance  gabbai  failed  3      0        1         1       1           0
    task 1: exit code 9
    task 2: a task needs more memory than any worker has
    ");
}

#[test]
fn members_and_entries_are_listed() {
    let response = json!({
        "members": [{
            "incarnation": "00000000000000a1", "host": "backend", "address": "10.0.0.7:7100",
            "region": "khomas", "zone": "khomas-1", "standing": "active", "slots": 8,
            "load": {
                "running": 3, "queued": 1, "service_us": 900,
                "held": {"millicores": 0, "memory_mib": 0, "accelerators": 0},
            },
            "silent_ms": 310,
        }],
        "entries": [{
            "incarnation": "00000000000000e1", "address": "10.0.0.2:7003",
            "site": {"region": "khomas", "zone": "khomas-1"},
        }],
    });
    insta::assert_snapshot!(format_table(&Command::Members, &response), @r"
    INCARNATION       HOST     ADDRESS        SITE             STANDING  SLOTS  QUEUED  SILENT MS
    00000000000000a1  backend  10.0.0.7:7100  khomas/khomas-1  active    3/8    1       310

    ENTRY             ADDRESS        SITE
    00000000000000e1  10.0.0.2:7003  khomas/khomas-1
    ");
}

#[test]
fn unexpected_response_body_is_an_error() {
    let response = table(&Command::Members, b"{}");
    assert!(response.is_err(), "{response:?}");
}
