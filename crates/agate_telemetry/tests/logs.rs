//! Formatting of log events.

use agate_telemetry::logs::line;
use log::{Level, Record};
use rstest::rstest;

fn format_event(pairs: &[(&str, &str)], message: &str) -> String {
    line(
        &Record::builder()
            .level(Level::Info)
            .target("agate_entry")
            .key_values(&pairs)
            .args(format_args!("{message}"))
            .build(),
        "2026-01-02T03:04:05.678Z",
    )
}

#[rstest]
#[case::plain(&[("event", "started")], "", "event=started")]
#[case::space(&[("cause", "no room")], "", r#"cause="no room""#)]
#[case::equals(&[("cause", "a=b")], "", r#"cause="a=b""#)]
#[case::empty(&[("cause", "")], "", r#"cause="""#)]
#[case::newline(&[("cause", "a\nb")], "", r#"cause="a\nb""#)]
#[case::message(&[], "two words", r#"message="two words""#)]
#[case::forged(&[("event", "x")], "a\ntime=0 level=error", r#"event=x message="a\ntime=0 level=error""#)]
fn event_is_formatted_as_one_line_of_pairs(
    #[case] pairs: &[(&str, &str)],
    #[case] message: &str,
    #[case] expected: &str,
) {
    let line = format_event(pairs, message);
    assert_eq!(
        line,
        format!("time=2026-01-02T03:04:05.678Z level=info target=agate_entry {expected}")
    );
    assert_eq!(line.lines().count(), 1);
}

/// Guards against lines as long as what clients send.
#[rstest]
#[case::plain("x")]
#[case::wide("\u{fc}")]
fn a_long_value_is_cut(#[case] letter: &str) {
    let line = format_event(&[("path", &letter.repeat(50_000))], "");
    assert!(line.ends_with("..."), "it ends with dots");
    assert!(line.len() < 5_000, "{} bytes", line.len());
}
