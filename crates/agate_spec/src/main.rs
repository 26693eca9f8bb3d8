//! Replays all traces of a folder and prints how often each action was replayed.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

use agate_spec::{ActionCounts, Spec, replay};
use bpaf::Parser;
use strum::IntoEnumIterator;

/// Action counts by specification.
type Totals = BTreeMap<Spec, ActionCounts>;

fn main() -> ExitCode {
    let folder = bpaf::positional::<PathBuf>("DIR").help("Folder with traces named SPEC-SEED.txt");
    let folder = folder
        .to_options()
        .descr("Replays traces of the specifications.")
        .run();
    match replay_all(&folder) {
        Ok(totals) => report(&totals),
        Err(message) => {
            eprintln!("{message}");
            ExitCode::FAILURE
        }
    }
}

fn replay_all(folder: &Path) -> Result<Totals, String> {
    let mut totals = Totals::new();
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
        let spec: Spec = spec.parse().map_err(|error| in_file(&error))?;
        let replayed = replay(spec, &trace).map_err(|error| in_file(&error))?;
        let total = totals.entry(spec).or_default();
        for (action, count) in replayed {
            *total.entry(action).or_default() += count;
        }
    }
    Ok(totals)
}

/// Prints the counts. Returns failure if an action was never replayed.
fn report(totals: &Totals) -> ExitCode {
    let mut missing = false;
    println!("{:<10} {:<12} {:>10}", "spec", "action", "replayed");
    for spec in Spec::iter() {
        for action in spec.actions() {
            let count = totals
                .get(&spec)
                .and_then(|total| total.get(*action))
                .copied()
                .unwrap_or(0);
            missing |= count == 0;
            println!(
                "{:<10} {action:<12} {count:>10}",
                format!("{spec:?}").to_lowercase()
            );
        }
    }
    if missing {
        eprintln!("an action was never replayed; replay more traces");
        return ExitCode::FAILURE;
    }
    ExitCode::SUCCESS
}
