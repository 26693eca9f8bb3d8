//! Loading of settings: sources, checks and messages.

use agate_settings::{Describe, Environment, Kind, Program, Setting, Stop, load, reference};
use rstest::rstest;
use strum::EnumIter;

#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
enum Demo {
    Listen,
    Slots,
    Seeds,
    Level,
    Token,
}

impl Describe for Demo {
    fn describe(self) -> Setting {
        match self {
            Self::Listen => Setting {
                flag: "listen",
                variable: "DEMO_LISTEN",
                about: "Where callers connect",
                unit: "address",
                kind: Kind::Address,
                default: None,
            },
            Self::Slots => Setting {
                flag: "slots",
                variable: "DEMO_SLOTS",
                about: "Requests worked on at once",
                unit: "requests",
                kind: Kind::Number(1..=64),
                default: Some("8"),
            },
            Self::Seeds => Setting {
                flag: "seeds",
                variable: "DEMO_SEEDS",
                about: "Entries to contact first",
                unit: "addresses",
                kind: Kind::Addresses,
                default: Some(""),
            },
            Self::Level => Setting {
                flag: "log-level",
                variable: "DEMO_LOG_LEVEL",
                about: "Least severe event that is logged",
                unit: "level",
                kind: Kind::Choice(&["info", "debug"]),
                default: Some("info"),
            },
            Self::Token => Setting {
                flag: "token",
                variable: "DEMO_TOKEN",
                about: "Token of operators",
                unit: "text",
                kind: Kind::Secret,
                default: Some("0123456789abcdef"),
            },
        }
    }
}

const DEMO: Program = Program {
    name: "demo",
    about: "A program for tests.",
    prefix: "DEMO_",
};

fn run(args: &[&str], variables: &[(&str, &str)]) -> Result<agate_settings::Loaded<Demo>, Stop> {
    let args: Vec<String> = args.iter().map(ToString::to_string).collect();
    load(&DEMO, &args, &Environment::from_pairs(variables))
}

#[test]
fn flag_overrides_variable_and_variable_overrides_default() {
    let loaded = run(
        &["--listen", "127.0.0.1:1", "--slots=3"],
        &[("DEMO_SLOTS", "4"), ("DEMO_LOG_LEVEL", "debug")],
    );
    let values = loaded.expect("settings are valid").values;
    assert_eq!(values.number(Demo::Slots), 3);
    assert_eq!(values.text(Demo::Level), "debug");
    assert!(values.addresses(Demo::Seeds).is_empty());
}

#[test]
fn every_finding_is_reported_with_its_place() {
    let stop = run(
        &["--slots", "0", "--log-level", "loud"],
        &[("DEMO_SEEDS", "nowhere"), ("DEMO_SLOT", "1")],
    )
    .expect_err("several settings are invalid");
    insta::assert_snapshot!(stop.text, @r#"
    --listen: missing; give it or set DEMO_LISTEN (address)
    --slots: expected a whole number from 1 to 64, found "0"
    DEMO_SEEDS: expected an IP address and port such as 10.0.0.7:7000, found "nowhere": invalid socket address syntax
    --log-level: expected one of info, debug, found "loud"
    DEMO_SLOT: unknown variable; remove it or correct its spelling
    "#);
    assert_eq!(stop.code, 2);
}

#[test]
fn check_prints_effective_settings_without_secrets() {
    let stop = run(
        &[
            "--listen",
            "127.0.0.1:1",
            "--check",
            "--token",
            "fedcba9876543210",
        ],
        &[],
    )
    .expect_err("a check exits the program");
    insta::assert_snapshot!(stop.text, @r"
    listen=127.0.0.1:1 source=flag
    slots=8 source=default
    seeds= source=default
    log-level=info source=default
    token=(hidden) source=flag
    ");
    assert_eq!(stop.code, 0);
}

#[rstest]
#[case::unknown_flag(&["--slot", "1"])]
#[case::repeated_flag(&["--slots", "1", "--slots", "2"])]
#[case::stray_word(&["now"])]
fn invalid_command_line_exits_with_the_usage_code(#[case] args: &[&str]) {
    let stop = run(args, &[]).expect_err("the command line is invalid");
    assert_eq!(stop.code, 2);
}

#[test]
fn error_about_a_short_secret_does_not_contain_it() {
    let stop = run(&["--listen", "127.0.0.1:1", "--token", "hunter2"], &[])
        .expect_err("the token is too short");
    assert!(!stop.text.contains("hunter2"), "{}", stop.text);
}

#[test]
fn reference_page_lists_every_setting() {
    let page = reference::<Demo>(&DEMO);
    let rows = page
        .lines()
        .filter(|line| line.starts_with("| `--"))
        .count();
    assert_eq!(rows, 5);
    assert!(page.contains(
        "| `--slots` | `DEMO_SLOTS` | requests | 1 to 64 | `8` | Requests worked on at once |"
    ));
}
