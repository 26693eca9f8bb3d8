//! Reference page of `agatectl`.

use std::fmt::Write as _;

use strum::IntoEnumIterator as _;

use crate::ExitStatus;
use crate::cli::parser;

/// Returns the reference page in Markdown.
pub fn reference() -> String {
    let mut page = String::from("# `agatectl`\n\n## Exit codes\n\n| code | when |\n|---|---|\n");
    for status in ExitStatus::iter() {
        // Writing to a string cannot fail.
        let _ = writeln!(page, "| {} | {} |", status.code(), status.about());
    }
    page.push_str("\n## Commands\n");
    for path in COMMANDS {
        let name = [&["agatectl"], *path].concat().join(" ");
        let _ = write!(page, "\n### `{name}`\n\n```text\n");
        for line in help(path).trim_end().lines() {
            let _ = writeln!(page, "{}", line.trim_end());
        }
        page.push_str("```\n");
    }
    page
}

/// Paths of all commands.
const COMMANDS: &[&[&str]] = &[
    &[],
    &["preset", "publish"],
    &["preset", "list"],
    &["preset", "switch"],
    &["preset", "show"],
    &["preset", "history"],
    &["withdraw"],
    &["resume"],
    &["withdrawals"],
    &["job", "submit"],
    &["job", "status"],
    &["job", "list"],
    &["job", "cancel"],
    &["members"],
];

fn help(path: &[&str]) -> String {
    let mut args = vec!["--entry=127.0.0.1:1", "--token=0123456789abcdef"];
    if path.is_empty() {
        args.clear();
    }
    args.extend(path);
    args.push("--help");
    let args = bpaf::Args::from(args.as_slice()).set_name("agatectl");
    match parser().run_inner(args) {
        Err(bpaf::ParseFailure::Stdout(doc, full)) => doc.monochrome(full),
        Err(other) => other.unwrap_stderr(),
        Ok(_) => String::new(),
    }
}
