//! Checks that every promise has a row on the promises page and that all proofs named there exist.

mod support;

use std::path::Path;

use rstest::rstest;

use support::{read, root, sources};

/// Identifiers of the invariants (H) and of the statements about failures (F).
const PROMISES: [&str; 17] = [
    "H1", "H2", "H3", "H4", "H5", "H6", "H7", "H8", "H9", "F1", "F2", "F3", "F4", "F5", "F6", "F7",
    "F8",
];

fn rows(page: &str) -> Vec<Vec<String>> {
    let cells = |line: &str| {
        let inner = line.trim().trim_matches('|');
        inner
            .split('|')
            .map(|cell| cell.trim().to_owned())
            .collect()
    };
    let rows = page.lines().filter(|line| line.starts_with('|'));
    rows.skip(2).map(cells).collect()
}

/// Returns whether `text` contains `word` without adjacent letters, digits or underscores.
fn contains_word(text: &str, word: &str) -> bool {
    let is_word_char = |char: char| char.is_alphanumeric() || char == '_';
    text.match_indices(word).any(|(index, _)| {
        !text[..index].ends_with(is_word_char)
            && !text[index + word.len()..].starts_with(is_word_char)
    })
}

fn test_exists(root: &Path, path: &str) -> bool {
    let parts: Vec<&str> = path.split("::").collect();
    let [crate_name, binary, modules @ .., name] = parts.as_slice() else {
        return false;
    };
    let tests = root.join("crates").join(crate_name).join("tests");
    let folder = tests.join(binary);
    let file = match modules.last() {
        None => tests.join(format!("{binary}.rs")),
        Some(_) if folder.is_dir() => folder.join(modules.join("/")).with_extension("rs"),
        Some(_) => tests.join(modules.join("/")).with_extension("rs"),
    };
    std::fs::read_to_string(file).is_ok_and(|text| contains_word(&text, &format!("fn {name}")))
}

fn check_exists(root: &Path, text: &str) -> bool {
    let quoted = format!("\"{text}\"");
    sources(&root.join("crates/agate_frame/src/faults"))
        .iter()
        .any(|(_, source)| source.contains(&quoted))
}

/// Returns whether a proof, as written in the table, exists in the source tree.
fn proof_exists(root: &Path, proof: &str) -> bool {
    if let Some(text) = proof.strip_prefix("`scripts/faults` \"") {
        return check_exists(root, text.trim_end_matches('"'));
    }
    let name = proof.trim_matches('`');
    if let Some((spec, mutant)) = name.split_once(' ') {
        let text = std::fs::read_to_string(root.join(spec)).unwrap_or_default();
        return mutant.starts_with("MUT_") && contains_word(&text, mutant);
    }
    if name.starts_with("scripts/") {
        return root.join(name).is_file();
    }
    test_exists(root, name)
}

#[rstest]
#[case::test_of_a_binary("`agate_bind::runs::lease_ends`", true)]
#[case::test_in_a_module("`agate_entry::it::keys::two_entries_at_once_run_a_key_once`", true)]
#[case::test_of_another_module(
    "`agate_entry::it::drain::two_entries_at_once_run_a_key_once`",
    false
)]
#[case::start_of_a_name("`agate_bind::runs::lease_end`", false)]
#[case::mutant("`spec/runs.pml MUT_NO_WAIT`", true)]
#[case::mutant_of_another_spec("`spec/keys.pml MUT_NO_WAIT`", false)]
#[case::script("`scripts/bench`", true)]
#[case::no_script("`scripts/prove`", false)]
#[case::check("`scripts/faults` \"keys that ran twice\"", true)]
#[case::no_check("`scripts/faults` \"keys that ran thrice\"", false)]
fn only_existing_proofs_are_found(#[case] proof: &str, #[case] exists: bool) {
    assert_eq!(proof_exists(&root(), proof), exists);
}

#[test]
fn every_promise_has_a_row_without_empty_cells() {
    let rows = rows(&read("docs/PROMISES.md"));
    for promise in PROMISES {
        let prefix = format!("{promise} ");
        assert!(
            rows.iter().any(|row| row[0].starts_with(&prefix)),
            "{promise}"
        );
    }
    for row in rows {
        assert_eq!(row.len(), 5, "{}", row[0]);
        assert!(row.iter().all(|cell| !cell.is_empty()), "{}", row[0]);
    }
}

/// Returns whether a module, named from its crate, exists.
fn module_exists(root: &Path, path: &str) -> bool {
    let (crate_name, module) = path.split_once("::").unwrap_or((path, ""));
    let module = root
        .join("crates")
        .join(crate_name)
        .join("src")
        .join(module.replace("::", "/"));
    module.is_dir() || module.with_extension("rs").is_file()
}

#[test]
fn every_mechanism_names_a_module() {
    let root = root();
    for row in rows(&read("docs/PROMISES.md")) {
        for name in row[1].split('`').skip(1).step_by(2) {
            assert!(module_exists(&root, name), "{}: {name}", row[0]);
        }
    }
}

#[test]
fn every_proof_exists_and_unproved_promises_have_none() {
    let root = root();
    for row in rows(&read("docs/PROMISES.md")) {
        let proofs: Vec<&str> = row[2]
            .split("<br>")
            .filter(|proof| *proof != "none")
            .collect();
        for proof in &proofs {
            assert!(proof_exists(&root, proof), "{}: {proof}", row[0]);
        }
        let status = &row[4];
        assert!(
            ["proved", "partly: ", "not proved: "]
                .iter()
                .any(|word| status.starts_with(word)),
            "{}: {status}",
            row[0]
        );
        assert_eq!(
            proofs.is_empty(),
            status.starts_with("not proved"),
            "{}",
            row[0]
        );
    }
}
