//! Loading of settings: sources, checks and messages.

use agate_settings::{Describe, Environment, Kind, Program, Setting, Stop, load, reference};
use rstest::rstest;
use strum::EnumIter;

#[derive(Debug, Clone, Copy, PartialEq, Eq, EnumIter)]
enum Demo {
    Listen,
    Slots,
    Share,
    Seeds,
    Level,
    Token,
    Bound,
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
            Self::Share => Setting {
                flag: "share",
                variable: "DEMO_SHARE",
                about: "Share of a processor",
                unit: "processors",
                kind: Kind::Decimal(64),
                default: Some(""),
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
            Self::Bound => Setting {
                flag: "bound-ms",
                variable: "DEMO_BOUND_MS",
                about: "Bound of an optional mechanism",
                unit: "milliseconds",
                kind: Kind::OptionalNumber(10..=90),
                default: Some(""),
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

/// A template leaves a value empty where a deployment lacks it.
#[rstest]
#[case::absent(&["--listen", "127.0.0.1:1"], None)]
#[case::empty_flag(&["--listen", "127.0.0.1:1", "--bound-ms="], None)]
#[case::flag(&["--listen", "127.0.0.1:1", "--bound-ms=50"], Some(50))]
fn an_optional_number_may_be_empty(#[case] args: &[&str], #[case] expected: Option<u64>) {
    let values = run(args, &[]).expect("settings are valid").values;
    let bound = values.optional_millis(Demo::Bound);
    assert_eq!(bound, expected.map(std::time::Duration::from_millis));
    let values = run(&args[..2], &[("DEMO_BOUND_MS", "")]).expect("settings are valid");
    assert_eq!(values.values.optional_millis(Demo::Bound), None);
}

#[rstest]
#[case::text("x")]
#[case::out_of_range("9")]
#[case::space(" ")]
fn an_invalid_optional_number_is_reported(#[case] text: &str) {
    let stop = run(&["--listen", "127.0.0.1:1"], &[("DEMO_BOUND_MS", text)]);
    let stop = stop.expect_err("the number is invalid");
    let expected = format!("DEMO_BOUND_MS: expected a whole number from 10 to 90, found {text:?}");
    assert_eq!(stop.text.trim_end(), expected);
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
            "--share",
            "0.12",
            "--token",
            "fedcba9876543210",
        ],
        &[],
    )
    .expect_err("a check exits the program");
    insta::assert_snapshot!(stop.text, @r"
    listen=127.0.0.1:1 source=flag
    slots=8 source=default
    share=0.12 source=flag
    seeds= source=default
    log-level=info source=default
    token=(hidden) source=flag
    bound-ms= source=default
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
    assert_eq!(rows, 7);
    assert!(page.contains(
        "| `--slots` | `DEMO_SLOTS` | requests | 1 to 64 | `8` | Requests worked on at once |"
    ));
    assert!(page.contains("| milliseconds | 10 to 90, or empty | empty |"));
}

/// The platform renders a number as it likes, and as an empty string where a deployment lacks it.
#[rstest]
#[case::absent(&[], None)]
#[case::empty(&["--share", ""], None)]
#[case::empty_after_equals_sign(&["--share="], None)]
#[case::usual(&["--share", "0.12"], Some(120))]
#[case::without_fraction(&["--share", "2"], Some(2_000))]
#[case::exponent(&["--share", "1.2e-1"], Some(120))]
#[case::many_digits(&["--share", "0.12000000000000001"], Some(120))]
#[case::inexact_in_binary(&["--share", "1.001"], Some(1_001))]
#[case::smallest(&["--share", "0.001"], Some(1))]
#[case::largest(&["--share", "64"], Some(64_000))]
fn a_decimal_is_read_in_thousandths(#[case] args: &[&str], #[case] expected: Option<u64>) {
    let args = [&["--listen", "127.0.0.1:1"], args].concat();
    let loaded = run(&args, &[]).expect("settings are valid");
    assert_eq!(loaded.values.thousandths(Demo::Share), expected);
}

#[rstest]
#[case::zero("0")]
#[case::too_small("0.0004")]
#[case::negative("-0.5")]
#[case::too_large("64.1")]
#[case::infinite("inf")]
#[case::not_a_number("NaN")]
#[case::word("half")]
#[case::comma("0,5")]
fn an_invalid_decimal_is_reported(#[case] text: &str) {
    let share = format!("--share={text}");
    let stop = run(&["--listen", "127.0.0.1:1", &share], &[]).expect_err("it is invalid");
    let expected = "--share: expected a decimal number from 0.001 to 64, such as 0.12, or nothing";
    assert!(stop.text.starts_with(expected), "{}", stop.text);
}
