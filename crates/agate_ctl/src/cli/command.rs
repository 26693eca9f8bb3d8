//! Commands.

use std::path::PathBuf;

use agate_core::{ClassName, JobId, Tag};
use agate_wire::message::StopMode;
use bpaf::{Parser, construct};

/// A command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Command {
    /// Manages presets.
    Preset(PresetCommand),
    /// Withdraws a class or tag.
    Withdraw {
        /// The work to withdraw.
        selector: WorkSelector,
        /// What happens to running work.
        mode: StopMode,
    },
    /// Resumes a class or tag.
    Resume(WorkSelector),
    /// Lists withdrawals.
    Withdrawals,
    /// Manages jobs.
    Job(JobCommand),
    /// Lists agents and entries.
    Members,
}

/// A command about presets.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum PresetCommand {
    /// Publishes a document as a preset.
    Publish {
        /// File with the document.
        file: PathBuf,
        /// Name of the preset; by default the file's name without its extension.
        name: Option<String>,
    },
    /// Lists published presets.
    List,
    /// Puts a preset in force.
    Switch {
        /// Name of the preset.
        name: String,
        /// Version that must still be in force; by default the current one.
        expected: Option<String>,
    },
    /// Shows the preset in force.
    Show,
    /// Lists the latest switches.
    History,
}

/// A command about jobs.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum JobCommand {
    /// Submits the job in a file.
    Submit(PathBuf),
    /// Shows a job.
    Status(JobId),
    /// Lists the open jobs.
    List,
    /// Cancels a job.
    Cancel(JobId),
}

/// Selects work to withdraw or resume.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum WorkSelector {
    /// All work of a class.
    Class(ClassName),
    /// All work with a tag.
    Tag(Tag),
}

pub(super) fn command() -> impl Parser<Command> {
    let preset = preset()
        .to_options()
        .descr("Publish, switch and show presets")
        .command("preset");
    let withdraw = withdraw()
        .to_options()
        .descr("Withdraw all work of a class or with a tag")
        .command("withdraw");
    let resume = selector()
        .map(Command::Resume)
        .to_options()
        .descr("Resume what was withdrawn")
        .command("resume");
    let withdrawals = bpaf::pure(Command::Withdrawals)
        .to_options()
        .descr("List what is withdrawn")
        .command("withdrawals");
    let job = job()
        .to_options()
        .descr("Submit, show and cancel jobs")
        .command("job");
    let members = bpaf::pure(Command::Members)
        .to_options()
        .descr("List agents and entries")
        .command("members");
    construct!([preset, withdraw, resume, withdrawals, job, members])
}

fn preset() -> impl Parser<Command> {
    let publish = publish()
        .to_options()
        .descr("Check a document and publish it under a name")
        .command("publish");
    let list = bpaf::pure(PresetCommand::List)
        .to_options()
        .descr("List what is published")
        .command("list");
    let switch = switch()
        .to_options()
        .descr("Put a preset in force, unless another operator came first")
        .command("switch");
    let show = bpaf::pure(PresetCommand::Show)
        .to_options()
        .descr("Show the preset in force")
        .command("show");
    let history = bpaf::pure(PresetCommand::History)
        .to_options()
        .descr("List the newest switches")
        .command("history");
    construct!([publish, list, switch, show, history]).map(Command::Preset)
}

fn publish() -> impl Parser<PresetCommand> {
    let name = bpaf::long("name")
        .help("Name to publish under [default: the file's name without its extension]")
        .argument::<String>("NAME")
        .optional();
    let file = bpaf::positional::<PathBuf>("FILE").help("The preset, a JSON document");
    construct!(PresetCommand::Publish { name, file })
}

fn switch() -> impl Parser<PresetCommand> {
    let expected = bpaf::long("expected")
        .help("Version that must still be in force [default: what is in force now]")
        .argument::<String>("VERSION")
        .optional();
    let name = bpaf::positional::<String>("NAME").help("The preset");
    construct!(PresetCommand::Switch { expected, name })
}

fn withdraw() -> impl Parser<Command> {
    let selector = selector();
    let mode = bpaf::long("mode")
        .help("What happens to running work: finish, checkpoint or stop [default: finish]")
        .argument::<StopMode>("MODE")
        .fallback(StopMode::Finish);
    construct!(Command::Withdraw { selector, mode })
}

fn selector() -> impl Parser<WorkSelector> {
    let class = bpaf::long("class")
        .help("All work of this class")
        .argument::<ClassName>("CLASS")
        .map(WorkSelector::Class);
    let tag = bpaf::long("tag")
        .help("All work with this tag")
        .argument::<Tag>("TAG")
        .map(WorkSelector::Tag);
    construct!([class, tag])
}

fn job() -> impl Parser<Command> {
    let submit = bpaf::positional::<PathBuf>("FILE")
        .help("The job, a JSON document")
        .map(JobCommand::Submit)
        .to_options()
        .descr("Submit a job; submitting a file with a job id again has no further effect")
        .command("submit");
    let status = job_id()
        .map(JobCommand::Status)
        .to_options()
        .descr("Show a job")
        .command("status");
    let list = bpaf::pure(JobCommand::List)
        .to_options()
        .descr("List the open jobs")
        .command("list");
    let cancel = job_id()
        .map(JobCommand::Cancel)
        .to_options()
        .descr("Cancel a job")
        .command("cancel");
    construct!([submit, status, list, cancel]).map(Command::Job)
}

fn job_id() -> impl Parser<JobId> {
    bpaf::positional::<JobId>("JOB").help("The job's id")
}
