//! Parsing of the command line.

use agate_core::JobId;
use agate_ctl::{Command, ExitStatus, JobCommand, PresetCommand, WorkSelector, parse};
use agate_wire::message::StopMode;
use rstest::rstest;

const GLOBAL: [&str; 2] = ["--entry=10.0.0.2:7002,10.0.0.3:7002", "--token=t"];

fn parse_with_globals(args: &[&str]) -> Result<agate_ctl::Options, agate_settings::Stop> {
    let args = GLOBAL.iter().chain(args).map(ToString::to_string);
    parse(&args.collect::<Vec<String>>())
}

#[rstest]
#[case::publish(
    &["preset", "publish", "peak.json"],
    Command::Preset(PresetCommand::Publish { file: "peak.json".into(), name: None })
)]
#[case::switch(
    &["preset", "switch", "peak", "--expected", "3+0"],
    Command::Preset(PresetCommand::Switch { name: "peak".into(), expected: Some("3+0".into()) })
)]
#[case::history(&["preset", "history"], Command::Preset(PresetCommand::History))]
#[case::withdraw(
    &["withdraw", "--tag", "season:2026", "--mode", "checkpoint"],
    Command::Withdraw {
        selector: WorkSelector::Tag("season:2026".parse().expect("a tag")),
        mode: StopMode::Checkpoint,
    }
)]
#[case::resume(
    &["resume", "--class", "rebalance"],
    Command::Resume(WorkSelector::Class("rebalance".parse().expect("a class")))
)]
#[case::cancel(&["job", "cancel", "2a"], Command::Job(JobCommand::Cancel(JobId(42))))]
#[case::members(&["members"], Command::Members)]
fn valid_command_line_is_parsed(#[case] args: &[&str], #[case] expected: Command) {
    let options = parse_with_globals(args).expect("the command line is valid");
    assert_eq!(options.command, expected);
    assert_eq!(options.entries.len(), 2);
}

#[rstest]
#[case::no_command(&[])]
#[case::class_and_tag(&["resume", "--class", "a", "--tag", "b"])]
#[case::bad_mode(&["withdraw", "--class", "a", "--mode", "slowly"])]
#[case::bad_job(&["job", "status", "zz"])]
#[case::bad_class(&["resume", "--class", "Rebalance"])]
#[case::unknown(&["preset", "delete", "peak"])]
fn invalid_command_line_exits_with_the_usage_code(#[case] args: &[&str]) {
    let stop = parse_with_globals(args).expect_err("the command line is invalid");
    assert_eq!(stop.code, ExitStatus::Usage.code());
}

#[rstest]
#[case::none(&["--token=t", "members"], "AGATECTL_ENTRY")]
#[case::malformed(&["--entry=entry-1", "--token=t", "members"], "10.0.0.7:7002")]
fn error_about_a_missing_or_malformed_entry_says_what_is_expected(
    #[case] args: &[&str],
    #[case] hint: &str,
) {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    let stop = parse(&args).expect_err("the entry is missing or malformed");
    assert!(stop.text.contains(hint), "{}", stop.text);
}

#[test]
fn help_does_not_contain_the_token() {
    let args = ["--token=hunter2hunter2", "--help"].map(str::to_owned);
    let stop = parse(&args).expect_err("help exits the program");
    assert!(!stop.text.contains("hunter2"), "{}", stop.text);
    assert!(stop.text.contains("AGATECTL_TOKEN"), "{}", stop.text);
}

#[test]
fn reference_page_lists_every_exit_code() {
    let page = agate_ctl::reference();
    for code in 0..=7 {
        assert!(page.contains(&format!("| {code} | ")), "{code}");
    }
    assert!(page.contains("### `agatectl preset switch`"));
    assert!(page.contains("--expected=VERSION"), "{page}");
}
