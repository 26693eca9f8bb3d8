//! Reference page of the presets.

use std::fmt::Write as _;

use agate_preset::field::Section;
use agate_preset::{DayKind, Preset};
use strum::VariantNames as _;

/// Returns the page.
pub(crate) fn page() -> String {
    let mut page = String::from("# Presets\n\n");
    page.push_str("A preset is a JSON document. It is published and checked as a whole; every problem is reported ");
    page.push_str("with its place. A field that is left out has its default.\n\n");
    let kinds = DayKind::VARIANTS.join("`, `");
    // Writing to a `String` cannot fail.
    let _ = writeln!(page, "`kind` is required: one of `{kinds}`.\n");
    for section in Preset::sections() {
        write_section(&mut page, &section);
    }
    page.push_str(CLASSES_AND_TEAMS);
    page
}

fn write_section(page: &mut String, section: &Section) {
    let _ = writeln!(page, "## `{}`\n\n{}\n", section.name, section.about);
    page.push_str("| field | unit | accepted | default | what it sets |\n|---|---|---|---|---|\n");
    for field in &section.fields {
        let (low, high) = (field.range.start(), field.range.end());
        let _ = writeln!(
            page,
            "| `{}` | {} | {low} to {high} | {} | {} |",
            field.name, field.unit, field.default, field.about
        );
    }
    page.push('\n');
}

const CLASSES_AND_TEAMS: &str = "\
## `classes`

An object with one member per class, named by the class.

| field | unit | accepted | default | what it sets |
|---|---|---|---|---|
| `urgency` | | urgent, batch | urgent | Whether a caller waits for the answer. |
| `deadline_ms` | ms | 1 to 86400000 | 2000 | Time from arrival to answer when the caller names none. |
| `repeatable` | | true, false | false | Whether running the same request twice does no harm. |
| `share_percent` | % | 1 to 100 | 100 | Largest share of a backend server's slots. |

## `teams`

An object with one member per team, named by the team.

| field | unit | accepted | default | what it sets |
|---|---|---|---|---|
| `millicores` | 1/1000 core | 0 to 4294967295 | 0 | Guaranteed processor time. |
| `memory_mib` | MiB | 0 to 4294967295 | 0 | Guaranteed memory. |
| `accelerators` | accelerators | 0 to 4294967295 | 0 | Guaranteed accelerators. |
| `borrow` | | true, false | true | Whether the team may use what others leave idle. |
";
