//! Access to pages and sources of the repository.

use std::path::{Path, PathBuf};

/// Returns the root of the repository.
pub fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

/// Returns the text of a file, with its path relative to the root.
pub fn read(path: &str) -> String {
    std::fs::read_to_string(root().join(path)).unwrap_or_else(|error| panic!("{path}: {error}"))
}

/// Returns the paths and texts of all Rust sources below a folder.
pub fn sources(folder: &Path) -> Vec<(PathBuf, String)> {
    let mut found = Vec::new();
    for entry in std::fs::read_dir(folder).expect("the folder exists") {
        let path = entry.expect("the entry is readable").path();
        if path.is_dir() {
            found.extend(sources(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            let text = std::fs::read_to_string(&path).expect("the source is readable");
            found.push((path, text));
        }
    }
    found
}
