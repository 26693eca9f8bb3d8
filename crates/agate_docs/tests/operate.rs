//! Checks that the pages for operators and the code agree on events, metrics, commands, flags,
//! presets and links.

mod support;

use std::collections::BTreeSet;
use std::path::{Path, PathBuf};

use agate_preset::{DayKind, Preset};
use agate_settings::{Describe, Environment, Program, load};
use rstest::rstest;

use support::{read, root, sources};

/// Returns the names of lower-case letters and underscores that follow each `prefix`.
fn names_after(text: &str, prefix: &str) -> BTreeSet<String> {
    let is_end = |char: char| !(char.is_ascii_lowercase() || char == '_');
    let parts = text.split(prefix).skip(1);
    let names = parts.filter_map(|part| part.split(is_end).next());
    names
        .filter(|name| !name.is_empty())
        .map(str::to_owned)
        .collect()
}

fn sources_of(crate_name: &str) -> String {
    let sources = sources(&root().join("crates").join(crate_name).join("src"));
    sources.into_iter().map(|(_, text)| text).collect()
}

/// Returns all Markdown pages with their paths.
fn pages() -> Vec<(PathBuf, String)> {
    let mut pages = Vec::new();
    for folder in [".", "docs", "docs/operate", "docs/design", "docs/reference"] {
        for entry in std::fs::read_dir(root().join(folder)).expect("the folder exists") {
            let path = entry.expect("the entry is readable").path();
            if path.extension().is_some_and(|extension| extension == "md") {
                let text = std::fs::read_to_string(&path).expect("the page is readable");
                pages.push((path, text));
            }
        }
    }
    pages
}

/// Returns the arguments of each call of `program` in the shell blocks of the pages.
fn commands(program: &str) -> Vec<Vec<String>> {
    let mut commands = Vec::new();
    for (_, text) in pages() {
        let blocks = text.split("```").skip(1).step_by(2);
        for block in blocks.filter_map(|block| block.strip_prefix("sh\n")) {
            let block = block.replace("\\\n", " ");
            let lines = block
                .lines()
                .map(|line| line.split(" #").next().unwrap_or(line));
            let words = lines.map(|line| line.split_whitespace().map(str::to_owned).collect());
            commands.extend(
                words.filter(|words: &Vec<String>| {
                    words.first().is_some_and(|word| word == program)
                }),
            );
        }
    }
    for command in &mut commands {
        command.remove(0);
    }
    commands
}

#[rstest]
#[case::entry("agate_entry", 40)]
#[case::agent("agate_agent", 20)]
#[case::supervisor("agate_super", 2)]
#[case::log("agate_log", 5)]
#[case::telemetry("agate_telemetry", 0)]
fn every_event_is_documented(#[case] crate_name: &str, #[case] min_count: usize) {
    let page = read("docs/operate/observe.md");
    let text = sources_of(crate_name);
    let mut events = names_after(&text, "event = \"");
    events.extend(names_after(&text, "event="));
    assert!(events.len() > min_count, "{crate_name} has only {events:?}");
    for event in events {
        assert!(
            page.contains(&format!("| `{event}` |")),
            "{crate_name}: {event}"
        );
    }
}

#[rstest]
#[case::node("crates/agate_node", 40)]
#[case::platform("platform", 15)]
fn every_platform_event_is_documented(#[case] folder: &str, #[case] min_count: usize) {
    let page = read("docs/OPERATIONS.md");
    let sources = sources(&root().join(folder).join("src"));
    let text: String = sources.into_iter().map(|(_, text)| text).collect();
    let events = names_after(&text, "event = \"");
    assert!(events.len() >= min_count, "{folder} has only {events:?}");
    for event in events {
        let name = format!("`{event}`");
        let mut rows = page.lines().filter(|line| line.starts_with("| `"));
        assert!(rows.any(|row| row.contains(&name)), "{folder}: {event}");
    }
}

#[test]
fn every_event_in_the_troubleshooting_steps_exists() {
    let page = read("docs/OPERATIONS.md");
    let named = names_after(&page, "event=");
    assert!(named.len() > 12, "{named:?}");
    let folders = [
        "crates/agate_node/src",
        "platform/src",
        "crates/agate_telemetry/src",
    ];
    let sources = folders
        .iter()
        .flat_map(|folder| sources(&root().join(folder)));
    let text: String = sources.map(|(_, text)| text).collect();
    for event in named {
        let known = text.contains(&format!("event = \"{event}\""))
            || text.contains(&format!("event={event} "));
        assert!(known, "{event}");
    }
}

#[test]
fn every_platform_metric_is_documented() {
    let page = read("docs/OPERATIONS.md");
    let files = sources(&root().join("crates/agate_node/src/metrics"));
    let text: String = files.into_iter().map(|(_, text)| text).collect();
    let text = text.replace([' ', '\n'], "");
    let metrics = names_after(&text, "registry.register(\"");
    assert_eq!(metrics.len(), 18, "{metrics:?}");
    for metric in metrics {
        assert!(page.contains(&format!("agatenotch_{metric}")), "{metric}");
    }
}

#[rstest]
#[case::node("crates/agate_node")]
#[case::jobs("crates/agate_jobs")]
fn platform_names_are_not_used_outside_the_platform_folder(#[case] folder: &str) {
    let names = [
        "runId",
        "lastSeen",
        "fencingToken",
        "log-append",
        "controlPlane",
        "memMb",
        "deadlineMs",
        "heartbeatAddr",
        "longRunning",
        "dataRack",
        "antiAffinity",
        "keyed.",
        "evacuate",
        "coldRemainingMs",
    ];
    for (path, text) in sources(&root().join(folder)) {
        for name in names {
            assert!(!text.contains(name), "{}: {name}", path.display());
        }
    }
}

#[rstest]
#[case::entry("agate_entry", "src/metrics.rs", 8)]
#[case::agent("agate_agent", "src/process/metrics.rs", 5)]
fn every_metric_is_documented(#[case] crate_name: &str, #[case] file: &str, #[case] count: usize) {
    let page = read("docs/operate/observe.md");
    let text = read(&format!("crates/{crate_name}/{file}")).replace([' ', '\n'], "");
    let mut metrics = names_after(&text, "registry.register(\"");
    metrics.extend(names_after(&text, "gauge(\""));
    assert_eq!(metrics.len(), count, "{metrics:?}");
    for metric in metrics {
        assert!(
            page.contains(&format!("| `{crate_name}_{metric}` |")),
            "{metric}"
        );
    }
}

#[test]
fn every_documented_agatectl_command_is_accepted() {
    let commands = commands("agatectl");
    assert!(commands.len() > 15);
    for command in commands {
        let mut args = vec!["--entry=10.0.0.2:7002".to_owned(), "--token=t".to_owned()];
        args.extend(command.iter().cloned());
        // Help ends with code 0 as well.
        let code = agate_ctl::parse(&args).map_or_else(|stop| stop.code, |_| 0);
        assert_eq!(code, 0, "{command:?}");
    }
}

fn assert_settings<S: Describe>(program: &Program, min_count: usize) {
    let commands = commands(program.name);
    assert!(commands.len() >= min_count, "{}", program.name);
    for command in commands {
        let loaded = load::<S>(program, &command, &Environment::from_pairs(&[]));
        assert!(loaded.is_ok(), "{command:?}: {:?}", loaded.err());
    }
}

#[test]
fn every_documented_process_command_line_is_accepted() {
    assert_settings::<agate_entry::EntrySetting>(&agate_entry::PROGRAM, 1);
    assert_settings::<agate_agent::AgentSetting>(&agate_agent::PROGRAM, 2);
}

#[rstest]
#[case("ordinary", DayKind::Ordinary)]
#[case("peak", DayKind::Peak)]
#[case("maintenance", DayKind::Maintenance)]
fn example_preset_is_valid(#[case] name: &str, #[case] kind: DayKind) {
    let text = read(&format!("docs/operate/presets/{name}.json"));
    let preset = Preset::parse(&text).expect("the example is valid");
    assert_eq!(preset.kind, kind);
    assert!(!preset.classes.is_empty() && !preset.teams.is_empty());
}

#[test]
fn every_link_target_exists() {
    for (page, text) in pages() {
        for target in text
            .split("](")
            .skip(1)
            .filter_map(|part| part.split(')').next())
        {
            let path = target.split('#').next().unwrap_or(target);
            let folder = page.parent().unwrap_or(Path::new("."));
            let external = target.contains("://");
            assert!(
                external || folder.join(path).exists(),
                "{}: {target}",
                page.display()
            );
        }
    }
}
