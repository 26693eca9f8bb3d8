//! Generates the reference pages, or checks that they are up to date.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use bpaf::{Parser, construct};

/// Command line options.
#[derive(Debug, Clone)]
struct Options {
    check: bool,
    root: PathBuf,
}

fn options() -> Options {
    let check = bpaf::long("check")
        .help("Fail if a page is stale; write nothing")
        .switch();
    let root = bpaf::long("root")
        .help("Folder of the project [default: this folder]")
        .argument::<PathBuf>("DIR")
        .fallback(PathBuf::from("."));
    construct!(Options { check, root })
        .to_options()
        .descr("Generates reference pages.")
        .run()
}

fn main() -> ExitCode {
    let options = options();
    let folder = options.root.join("docs/reference");
    let result = if options.check {
        check_pages(&folder)
    } else {
        write_pages(&folder)
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn write_pages(folder: &Path) -> Result<(), String> {
    std::fs::create_dir_all(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    for page in agate_docs::pages() {
        let path = folder.join(page.file);
        std::fs::write(&path, page.text).map_err(|error| format!("{}: {error}", path.display()))?;
    }
    Ok(())
}

fn check_pages(folder: &Path) -> Result<(), String> {
    let is_fresh = |page: &agate_docs::Page| {
        std::fs::read_to_string(folder.join(page.file)).is_ok_and(|text| text == page.text)
    };
    let stale: Vec<&str> = agate_docs::pages()
        .iter()
        .filter(|page| !is_fresh(page))
        .map(|page| page.file)
        .collect();
    if stale.is_empty() {
        return Ok(());
    }
    Err(format!(
        "stale in docs/reference: {}; run scripts/docs and commit the result",
        stale.join(", ")
    ))
}
