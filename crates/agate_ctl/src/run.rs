//! Carrying out a command.

use std::fmt::Write as _;

use agate_core::Findings;
use http::StatusCode;

use crate::cli::{Command, JobCommand, Options, OutputFormat, PresetCommand};
use crate::client::{Answer, Call, CallError, EntryClient};
use crate::output::table;
use crate::reply::{InForce, Problem};
use crate::{ExitStatus, request};

/// What a command prints and how it ends.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Text for standard output.
    pub output: String,
    /// Text for standard error.
    pub message: String,
    /// How it ended.
    pub status: ExitStatus,
}

impl Report {
    /// Prints both texts.
    pub fn print(&self) {
        if !self.output.is_empty() {
            println!("{}", self.output.trim_end());
        }
        if !self.message.is_empty() {
            eprintln!("{}", self.message.trim_end());
        }
    }

    fn failed(status: ExitStatus, message: impl Into<String>) -> Self {
        Self {
            output: String::new(),
            message: message.into(),
            status,
        }
    }

    fn invalid(findings: &Findings) -> Self {
        Self::failed(ExitStatus::Usage, findings.to_string())
    }
}

/// Carries out a command: entries are tried in turn until one settles it. Every write is
/// idempotent, so trying another entry after a lost answer counts once.
pub async fn run(options: &Options) -> Report {
    let call = match request::call(&options.command) {
        Ok(call) => call,
        Err(findings) => return Report::invalid(&findings),
    };
    let client = EntryClient::new(options);
    let call = match &options.command {
        Command::Preset(PresetCommand::Switch {
            name,
            expected: None,
        }) => match expected_now(&client, options).await {
            Ok(expected) => request::switch_call(name, &expected),
            Err(report) => return report,
        },
        _ => call,
    };
    let tried = try_all(&client, options, &call).await;
    report(options, &tried)
}

/// What became of a call at all entries.
#[derive(Debug)]
struct Tried {
    answer: Option<Answer>,
    /// Whether an entry may have made the change without telling.
    lost: bool,
    errors: Vec<CallError>,
}

async fn try_all(client: &EntryClient<'_>, options: &Options, call: &Call) -> Tried {
    let mut tried = Tried {
        answer: None,
        lost: false,
        errors: Vec::new(),
    };
    for entry in &options.entries {
        match client.call(*entry, call).await {
            Ok(answer) => {
                let settled = answer.status != StatusCode::SERVICE_UNAVAILABLE;
                tried.lost |= !settled && problem(&answer).error == "unknown";
                tried.answer = Some(answer);
                if settled {
                    break;
                }
            }
            Err(error) => {
                tried.lost |= matches!(error, CallError::Unanswered(..));
                tried.errors.push(error);
            }
        }
    }
    tried
}

/// The version that is in force now.
async fn expected_now(client: &EntryClient<'_>, options: &Options) -> Result<String, Report> {
    let show = Command::Preset(PresetCommand::Show);
    let call = request::call(&show).map_err(|findings| Report::invalid(&findings))?;
    let tried = try_all(client, options, &call).await;
    let Some(answer) = &tried.answer else {
        return Err(unreachable(&tried));
    };
    if !answer.status.is_success() {
        return Err(refused(&tried, answer));
    }
    match serde_json::from_slice::<InForce>(&answer.body) {
        Ok(in_force) => Ok(in_force.version),
        Err(error) => Err(not_understood(&error)),
    }
}

fn report(options: &Options, tried: &Tried) -> Report {
    let Some(answer) = &tried.answer else {
        return unreachable(tried);
    };
    if answer.status.is_success() {
        return done(options, answer);
    }
    if is_own_echo(&options.command, tried, answer) {
        let output = "the change was made; its first answer was lost\n".to_owned();
        return Report {
            output,
            message: String::new(),
            status: ExitStatus::Done,
        };
    }
    refused(tried, answer)
}

/// Whether a refusal only shows that the same call, whose answer was lost, was carried out before.
fn is_own_echo(command: &Command, tried: &Tried, answer: &Answer) -> bool {
    let problem = problem(answer);
    tried.lost
        && match command {
            Command::Preset(PresetCommand::Switch { name, .. }) => {
                problem.error == "conflict" && problem.in_force == *name
            }
            Command::Resume(_) => problem.error == "not-withdrawn",
            Command::Preset(
                PresetCommand::Publish { .. }
                | PresetCommand::List
                | PresetCommand::Show
                | PresetCommand::History,
            )
            | Command::Withdraw { .. }
            | Command::Withdrawals
            | Command::Job(
                JobCommand::Submit(_)
                | JobCommand::Status(_)
                | JobCommand::List
                | JobCommand::Cancel(_),
            )
            | Command::Members => false,
        }
}

fn done(options: &Options, answer: &Answer) -> Report {
    let output = match options.output {
        OutputFormat::Json => Ok(String::from_utf8_lossy(&answer.body).into_owned()),
        OutputFormat::Table => table(&options.command, &answer.body),
    };
    match output {
        Ok(output) => Report {
            output,
            message: String::new(),
            status: ExitStatus::Done,
        },
        Err(error) => not_understood(&error),
    }
}

fn refused(tried: &Tried, answer: &Answer) -> Report {
    let problem = problem(answer);
    let status = match answer.status {
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => ExitStatus::Usage,
        StatusCode::UNAUTHORIZED => ExitStatus::Unauthorized,
        StatusCode::CONFLICT if problem.error == "conflict" => ExitStatus::Conflict,
        StatusCode::SERVICE_UNAVAILABLE if tried.lost => ExitStatus::Unknown,
        StatusCode::SERVICE_UNAVAILABLE => ExitStatus::LogDown,
        _ => ExitStatus::Refused,
    };
    let mut message = format!("{}\n", problem.message);
    for finding in &problem.findings {
        // Writing to a string cannot fail.
        let _ = writeln!(message, "{finding}");
    }
    Report::failed(status, message)
}

fn unreachable(tried: &Tried) -> Report {
    let status = if tried.lost {
        ExitStatus::Unknown
    } else {
        ExitStatus::Unreachable
    };
    let errors: Vec<String> = tried.errors.iter().map(ToString::to_string).collect();
    Report::failed(status, errors.join("\n"))
}

fn not_understood(error: &serde_json::Error) -> Report {
    let message = format!("the entry's answer can't be read; is it of another version? {error}");
    Report::failed(ExitStatus::Unknown, message)
}

/// The problem in an answer; an answer in another form is shown as it is.
fn problem(answer: &Answer) -> Problem {
    serde_json::from_slice(&answer.body).unwrap_or_else(|_| Problem {
        message: String::from_utf8_lossy(&answer.body).into_owned(),
        ..Problem::default()
    })
}
