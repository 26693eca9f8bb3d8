//! Tables of the responses to commands.

use std::fmt::Write as _;

use agate_wire::message::Selector;
use serde::de::DeserializeOwned;

use super::grid::grid;
use crate::cli::{Command, JobCommand, PresetCommand};
use crate::reply::{
    InForce, Job, JobList, Member, MemberList, PresetList, Published, Switch, SwitchList,
    Withdrawal, WithdrawalList,
};

/// Formats the response to `command` as a table.
///
/// # Errors
///
/// Fails if `body` is not the body of a response to this command.
pub fn table(command: &Command, body: &[u8]) -> Result<String, serde_json::Error> {
    Ok(match command {
        Command::Preset(command) => preset_table(command, body)?,
        Command::Withdraw { .. } | Command::Resume(_) | Command::Withdrawals => {
            withdrawals(&parse::<WithdrawalList>(body)?.withdrawals)
        }
        Command::Job(JobCommand::List) => jobs(&parse::<JobList>(body)?.jobs),
        Command::Job(JobCommand::Submit(_) | JobCommand::Status(_) | JobCommand::Cancel(_)) => {
            job(parse(body)?)
        }
        Command::Members => members(&parse(body)?),
    })
}

fn parse<T: DeserializeOwned>(body: &[u8]) -> Result<T, serde_json::Error> {
    serde_json::from_slice(body)
}

fn preset_table(command: &PresetCommand, body: &[u8]) -> Result<String, serde_json::Error> {
    Ok(match command {
        PresetCommand::Publish { .. } => published(&[parse(body)?]),
        PresetCommand::List => published(&parse::<PresetList>(body)?.presets),
        PresetCommand::Switch { .. } => in_force(&parse(body)?),
        PresetCommand::Show => in_force_with_contents(&parse(body)?)?,
        PresetCommand::History => history(&parse::<SwitchList>(body)?.switches),
    })
}

fn published(presets: &[Published]) -> String {
    let row = |preset: &Published| {
        [
            preset.name.clone(),
            preset.kind.clone(),
            preset.version.clone(),
            preset.operator.clone(),
        ]
    };
    let rows: Vec<[String; 4]> = presets.iter().map(row).collect();
    grid(["NAME", "KIND", "VERSION", "OPERATOR"], &rows)
}

fn in_force(preset: &InForce) -> String {
    let name = preset.name.clone().unwrap_or_else(|| "(none)".to_owned());
    grid(["IN FORCE", "VERSION"], &[[name, preset.version.clone()]])
}

fn in_force_with_contents(preset: &InForce) -> Result<String, serde_json::Error> {
    let mut text = in_force(preset);
    if let Some(contents) = &preset.preset {
        text.push('\n');
        text.push_str(&serde_json::to_string_pretty(contents)?);
        text.push('\n');
    }
    Ok(text)
}

fn history(switches: &[Switch]) -> String {
    let row = |switch: &Switch| {
        [
            switch.name.clone(),
            switch.version.clone(),
            switch.operator.clone(),
            switch.wall_ms.to_string(),
        ]
    };
    let rows: Vec<[String; 4]> = switches.iter().map(row).collect();
    grid(["NAME", "VERSION", "OPERATOR", "UNIX MS"], &rows)
}

fn withdrawals(withdrawals: &[Withdrawal]) -> String {
    let row = |withdrawal: &Withdrawal| {
        let (kind, name) = match &withdrawal.selector {
            Selector::Class(class) => ("class", class.as_str()),
            Selector::Tag(tag) => ("tag", tag.as_str()),
        };
        [
            kind.to_owned(),
            name.to_owned(),
            withdrawal.mode.clone(),
            withdrawal.version.clone(),
        ]
    };
    let rows: Vec<[String; 4]> = withdrawals.iter().map(row).collect();
    grid(["KIND", "WITHDRAWN", "MODE", "VERSION"], &rows)
}

fn jobs(jobs: &[Job]) -> String {
    let row = |job: &Job| {
        [
            job.id.clone(),
            job.class.clone(),
            job.caller.clone(),
            job.phase.clone(),
            job.tasks.to_string(),
            job.running.to_string(),
            job.finished.to_string(),
            job.failed.to_string(),
            job.impossible.to_string(),
            job.cancelled.to_string(),
        ]
    };
    let rows: Vec<[String; 10]> = jobs.iter().map(row).collect();
    let heading = [
        "JOB",
        "CLASS",
        "CALLER",
        "PHASE",
        "TASKS",
        "RUNNING",
        "FINISHED",
        "FAILED",
        "IMPOSSIBLE",
        "CANCELLED",
    ];
    grid(heading, &rows)
}

fn job(job: Job) -> String {
    let failures = job.failures.clone();
    let mut text = jobs(&[job]);
    for failure in failures {
        // Writing to a string cannot fail.
        let _ = writeln!(text, "task {}: {}", failure.index, failure.reason);
    }
    text
}

fn members(list: &MemberList) -> String {
    let row = |member: &Member| {
        [
            member.incarnation.clone(),
            member.host.clone(),
            member.address.clone(),
            format!("{}/{}", member.region, member.zone),
            member.standing.clone(),
            format!("{}/{}", member.load.running, member.slots),
            member.load.queued.to_string(),
            member.silent_ms.to_string(),
        ]
    };
    let rows: Vec<[String; 8]> = list.members.iter().map(row).collect();
    let heading = [
        "INCARNATION",
        "HOST",
        "ADDRESS",
        "SITE",
        "STANDING",
        "SLOTS",
        "QUEUED",
        "SILENT MS",
    ];
    let mut text = grid(heading, &rows);
    let entries = list.entries.iter().map(|entry| {
        [
            entry.incarnation.to_string(),
            entry.address.to_string(),
            entry.site.to_string(),
        ]
    });
    let rows: Vec<[String; 3]> = entries.collect();
    text.push('\n');
    text.push_str(&grid(["ENTRY", "ADDRESS", "SITE"], &rows));
    text
}
