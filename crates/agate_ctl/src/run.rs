//! Execution of commands.

use std::fmt::Write as _;

use agate_core::Findings;
use http::StatusCode;

use crate::cli::{Command, JobCommand, Options, OutputFormat, PresetCommand};
use crate::client::{Call, CallError, EntryClient, Response};
use crate::output::table;
use crate::reply::{InForce, Problem};
use crate::{ExitStatus, request};

/// Output and result of a command.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Report {
    /// Text for standard output.
    pub output: String,
    /// Text for standard error.
    pub message: String,
    /// Result of the command.
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

/// Executes a command. Entries are tried in order until one responds definitively. Every write is
/// idempotent, so trying another entry after a lost response is safe.
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
        }) => match version_in_force(&client, options).await {
            Ok(expected) => request::switch_call(name, &expected),
            Err(report) => return report,
        },
        _ => call,
    };
    let attempts = call_in_order(&client, options, &call).await;
    to_report(options, &attempts)
}

/// Result of sending a call to entries in order.
#[derive(Debug)]
struct Attempts {
    response: Option<Response>,
    /// Whether an entry may have made the change without confirming it.
    is_uncertain: bool,
    errors: Vec<CallError>,
}

async fn call_in_order(client: &EntryClient<'_>, options: &Options, call: &Call) -> Attempts {
    let mut attempts = Attempts {
        response: None,
        is_uncertain: false,
        errors: Vec::new(),
    };
    for entry in &options.entries {
        match client.call(*entry, call).await {
            Ok(response) => {
                let is_final = response.status != StatusCode::SERVICE_UNAVAILABLE;
                attempts.is_uncertain |= !is_final && parse_problem(&response).error == "unknown";
                attempts.response = Some(response);
                if is_final {
                    break;
                }
            }
            Err(error) => {
                attempts.is_uncertain |= matches!(error, CallError::NoResponse(..));
                attempts.errors.push(error);
            }
        }
    }
    attempts
}

/// Returns the version in force.
async fn version_in_force(client: &EntryClient<'_>, options: &Options) -> Result<String, Report> {
    let show = Command::Preset(PresetCommand::Show);
    let call = request::call(&show).map_err(|findings| Report::invalid(&findings))?;
    let attempts = call_in_order(client, options, &call).await;
    let Some(response) = &attempts.response else {
        return Err(unreachable_report(&attempts));
    };
    if !response.status.is_success() {
        return Err(refusal_report(&attempts, response));
    }
    match serde_json::from_slice::<InForce>(&response.body) {
        Ok(in_force) => Ok(in_force.version),
        Err(error) => Err(malformed_response_report(&error)),
    }
}

fn to_report(options: &Options, attempts: &Attempts) -> Report {
    let Some(response) = &attempts.response else {
        return unreachable_report(attempts);
    };
    if response.status.is_success() {
        return success_report(options, response);
    }
    if is_already_applied(&options.command, attempts, response) {
        let output = "the change was made; its first answer was lost\n".to_owned();
        return Report {
            output,
            message: String::new(),
            status: ExitStatus::Done,
        };
    }
    refusal_report(attempts, response)
}

/// Returns whether a refusal only shows that an earlier attempt, whose response was lost, made the
/// change.
fn is_already_applied(command: &Command, attempts: &Attempts, response: &Response) -> bool {
    let problem = parse_problem(response);
    attempts.is_uncertain
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

fn success_report(options: &Options, response: &Response) -> Report {
    let output = match options.output {
        OutputFormat::Json => Ok(String::from_utf8_lossy(&response.body).into_owned()),
        OutputFormat::Table => table(&options.command, &response.body),
    };
    match output {
        Ok(output) => Report {
            output,
            message: String::new(),
            status: ExitStatus::Done,
        },
        Err(error) => malformed_response_report(&error),
    }
}

fn refusal_report(attempts: &Attempts, response: &Response) -> Report {
    let problem = parse_problem(response);
    let status = match response.status {
        StatusCode::BAD_REQUEST | StatusCode::PAYLOAD_TOO_LARGE => ExitStatus::Usage,
        StatusCode::UNAUTHORIZED => ExitStatus::Unauthorized,
        StatusCode::CONFLICT if problem.error == "conflict" => ExitStatus::Conflict,
        StatusCode::SERVICE_UNAVAILABLE if attempts.is_uncertain => ExitStatus::Unknown,
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

fn unreachable_report(attempts: &Attempts) -> Report {
    let status = if attempts.is_uncertain {
        ExitStatus::Unknown
    } else {
        ExitStatus::Unreachable
    };
    let errors: Vec<String> = attempts.errors.iter().map(ToString::to_string).collect();
    Report::failed(status, errors.join("\n"))
}

fn malformed_response_report(error: &serde_json::Error) -> Report {
    let message =
        format!("the entry's response can't be parsed; does it run another version? {error}");
    Report::failed(ExitStatus::Unknown, message)
}

/// Returns the problem in a response. A body that is not JSON becomes the message as it is.
fn parse_problem(response: &Response) -> Problem {
    serde_json::from_slice(&response.body).unwrap_or_else(|_| Problem {
        message: String::from_utf8_lossy(&response.body).into_owned(),
        ..Problem::default()
    })
}
