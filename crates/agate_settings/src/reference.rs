//! Reference pages generated from the descriptions of settings.

use std::fmt::Write as _;

use crate::{Describe, Kind, Program, Setting};

/// Returns the reference page of a program's settings in Markdown.
pub fn reference<S: Describe>(program: &Program) -> String {
    let mut page = format!("# Settings of `{}`\n\n{}\n\n", program.name, program.about);
    page.push_str("Each setting is a flag or an environment variable; the flag wins. `--check` checks all of them, ");
    page.push_str("prints them and exits.\n\n");
    page.push_str("| flag | variable | unit | accepted | default | what it does |\n");
    page.push_str("|---|---|---|---|---|---|\n");
    for setting in S::iter() {
        write_row(&mut page, &setting.describe());
    }
    page
}

fn write_row(page: &mut String, setting: &Setting) {
    let default = match setting.default {
        None => "required".to_owned(),
        Some("") => "empty".to_owned(),
        Some(text) => format!("`{text}`"),
    };
    let Setting {
        flag,
        variable,
        unit,
        about,
        ..
    } = setting;
    // Writing to a string cannot fail.
    let _ = writeln!(
        page,
        "| `--{flag}` | `{variable}` | {unit} | {} | {default} | {about} |",
        accepted_values(&setting.kind)
    );
}

fn accepted_values(kind: &Kind) -> String {
    match kind {
        Kind::Number(range) => format!("{} to {}", range.start(), range.end()),
        Kind::OptionalNumber(range) => format!("{} to {}, or empty", range.start(), range.end()),
        Kind::Decimal(max) => format!("decimal number from 0.001 to {max}, or empty"),
        Kind::Address => "IP address and port".to_owned(),
        Kind::Addresses => "IP addresses and ports joined by commas".to_owned(),
        Kind::Name => "a name".to_owned(),
        Kind::Names => "names joined by commas".to_owned(),
        Kind::Text => "text".to_owned(),
        Kind::Secret => "at least 16 bytes, never shown".to_owned(),
        Kind::Choice(words) => words.join(", "),
    }
}
