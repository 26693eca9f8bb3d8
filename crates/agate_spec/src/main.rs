//! Replays every trace of a folder and prints how often each action was carried out.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use agate_spec::{Replayed, Spec, replay};
use bpaf::Parser;

fn main() -> ExitCode {
    let folder = bpaf::positional::<PathBuf>("DIR").help("Folder with traces named SPEC-SEED.txt");
    let folder = folder
        .to_options()
        .descr("Replays traces of the specifications.")
        .run();
    match replay_all(&folder) {
        Ok(totals) if !totals.is_empty() => {
            print(&totals);
            ExitCode::SUCCESS
        }
        Ok(_) => fail("there is no trace to replay"),
        Err(message) => fail(&message),
    }
}

fn fail(message: &str) -> ExitCode {
    eprintln!("{message}");
    ExitCode::FAILURE
}

fn replay_all(folder: &Path) -> Result<BTreeMap<String, Replayed>, String> {
    let mut totals: BTreeMap<String, Replayed> = BTreeMap::new();
    let entries =
        std::fs::read_dir(folder).map_err(|error| format!("{}: {error}", folder.display()))?;
    for entry in entries {
        let path = entry.map_err(|error| error.to_string())?.path();
        let name = path
            .file_stem()
            .and_then(|stem| stem.to_str())
            .unwrap_or_default();
        let (spec, _) = name.split_once('-').unwrap_or((name, ""));
        let in_file = |error: &dyn std::fmt::Display| format!("{}: {error}", path.display());
        let trace = std::fs::read_to_string(&path).map_err(|error| in_file(&error))?;
        let kind: Spec = spec.parse().map_err(|error| in_file(&error))?;
        let replayed = replay(kind, &trace).map_err(|error| in_file(&error))?;
        let total = totals.entry(spec.to_owned()).or_default();
        for (action, count) in replayed {
            *total.entry(action).or_default() += count;
        }
    }
    Ok(totals)
}

fn print(totals: &BTreeMap<String, Replayed>) {
    println!("{:<10} {:<12} {:>10}", "spec", "action", "replayed");
    for (spec, actions) in totals {
        for (action, count) in actions {
            println!("{spec:<10} {action:<12} {count:>10}");
        }
    }
}
