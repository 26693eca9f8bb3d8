//! Options that every command has.

use std::net::SocketAddr;

use agate_settings::{Secret, Stop};
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct};
use strum::{Display, EnumString, VariantNames};

use super::Command;
use super::command::command;
use crate::ExitStatus;

/// Width to which help text is wrapped.
const HELP_COLUMNS: usize = 100;

/// The command and its options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Operator addresses of entries, tried in turn.
    pub entries: Vec<SocketAddr>,
    /// Token of operators.
    pub token: Secret,
    /// Who the operator is, for the history.
    pub operator: Option<String>,
    /// How the answer is written.
    pub output: OutputFormat,
    /// What is to be done.
    pub command: Command,
}

/// How an answer is written.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum OutputFormat {
    /// A table for people.
    Table,
    /// The entry's answer in JSON.
    Json,
}

/// Reads the command line, without the program's name.
///
/// # Errors
///
/// Returns what to print and the exit code when help or the version was asked for, or when the
/// command line is wrong.
pub fn parse(args: &[String]) -> Result<Options, Stop> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = Args::from(args.as_slice()).set_name("agatectl");
    parser().run_inner(args).map_err(|failure| stop(&failure))
}

fn stop(failure: &ParseFailure) -> Stop {
    let (text, status) = match failure {
        ParseFailure::Stdout(doc, full) => (doc.monochrome(*full), ExitStatus::Done),
        ParseFailure::Completion(text) => (text.clone(), ExitStatus::Done),
        ParseFailure::Stderr(doc) => (doc.monochrome(true), ExitStatus::Usage),
    };
    Stop {
        text,
        code: status.code(),
    }
}

pub(crate) fn parser() -> OptionParser<Options> {
    let entries = bpaf::long("entry")
        .env("AGATECTL_ENTRY")
        .help("Operator address of an entry; several, given again or joined by commas, are tried in turn")
        .argument::<String>("ADDR")
        .many()
        .parse(|texts| addresses(&texts));
    let token = bpaf::long("token")
        .env("AGATECTL_TOKEN")
        .help("Token of operators; prefer the variable, as command lines can be seen by others")
        .argument::<String>("TOKEN")
        .map(Secret::new);
    let operator = bpaf::long("operator")
        .env("AGATECTL_OPERATOR")
        .help("Who you are, for the history")
        .argument::<String>("NAME")
        .optional();
    let output = bpaf::long("output")
        .help("table or json [default: table]")
        .argument::<OutputFormat>("FORMAT")
        .fallback(OutputFormat::Table);
    let command = command();
    construct!(Options {
        entries,
        token,
        operator,
        output,
        command
    })
    .to_options()
    .descr("Publishes and switches presets, withdraws and resumes work, and submits jobs.")
    .version(env!("CARGO_PKG_VERSION"))
    .max_width(HELP_COLUMNS)
}

fn addresses(texts: &[String]) -> Result<Vec<SocketAddr>, String> {
    let parts = texts.iter().flat_map(|text| text.split(','));
    let parts = parts.map(str::trim).filter(|part| !part.is_empty());
    let addresses: Result<Vec<SocketAddr>, String> = parts.map(address).collect();
    match addresses {
        Ok(addresses) if addresses.is_empty() => {
            Err("give the operator address of an entry by --entry or AGATECTL_ENTRY".to_owned())
        }
        addresses => addresses,
    }
}

fn address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|error| {
        format!("expected an IP address and port such as 10.0.0.7:7002, found {text:?}: {error}")
    })
}
