//! Checks the contents of the generated pages.

use agate_docs::pages;
use agate_preset::Preset;
use rstest::rstest;

fn page(file: &str) -> String {
    pages()
        .into_iter()
        .find(|page| page.file == file)
        .expect("the page is generated")
        .text
}

#[rstest]
#[case("agate-entry.md", "| `--")]
#[case("agate-agent.md", "| `--")]
#[case("decisions.md", "| `agate_")]
fn page_has_rows(#[case] file: &str, #[case] row_prefix: &str) {
    assert!(
        page(file)
            .lines()
            .filter(|line| line.starts_with(row_prefix))
            .count()
            > 5
    );
}

#[test]
fn preset_page_lists_every_field() {
    let text = page("preset.md");
    for section in Preset::sections() {
        assert!(
            text.contains(&format!("## `{}`", section.name)),
            "{}",
            section.name
        );
        for field in section.fields {
            assert!(
                text.contains(&format!("| `{}` | {} |", field.name, field.unit)),
                "{}",
                field.name
            );
        }
    }
}
