//! Reference page of the decisions.

use std::fmt::Write as _;

use strum::IntoEnumIterator as _;

/// Returns the page.
pub(crate) fn page() -> String {
    let mut page = String::from(
        "# Decisions\n\nEach decision is one module of a crate without I/O or clock.\n\n",
    );
    page.push_str("| crate | decision | what it decides | preset section |\n|---|---|---|---|\n");
    for decision in agate_route::Decision::iter() {
        write_row(
            &mut page,
            "agate_route",
            &decision.to_string(),
            decision.about(),
            decision.section(),
        );
    }
    for decision in agate_place::Decision::iter() {
        write_row(
            &mut page,
            "agate_place",
            &decision.to_string(),
            decision.about(),
            decision.section(),
        );
    }
    page
}

fn write_row(page: &mut String, crate_name: &str, name: &str, about: &str, section: Option<&str>) {
    let section = section.map_or_else(String::new, |section| format!("`{section}`"));
    // Writing to a `String` cannot fail.
    let _ = writeln!(page, "| `{crate_name}` | {name} | {about} | {section} |");
}
