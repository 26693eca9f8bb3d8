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

/// Variable that names entries.
const ENTRY: &str = "AGATECTL_ENTRY";
/// Variable that holds the token.
const TOKEN: &str = "AGATECTL_TOKEN";
/// Variable that names the operator.
const OPERATOR: &str = "AGATECTL_OPERATOR";

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
    // Variables are read here and not by the parser, whose help would show their values.
    let entries = bpaf::long("entry")
        .help("Operator address of an entry; several, given again or joined by commas, are tried in turn [AGATECTL_ENTRY]")
        .argument::<String>("ADDR")
        .many()
        .parse(|texts| addresses(&texts));
    let token = bpaf::long("token")
        .help("Token of operators; prefer the variable, as command lines can be seen by others [AGATECTL_TOKEN]")
        .argument::<String>("TOKEN")
        .fallback_with(|| variable(TOKEN).ok_or("give the token by AGATECTL_TOKEN or --token"))
        .map(Secret::new);
    let operator = bpaf::long("operator")
        .help("Who you are, for the history [AGATECTL_OPERATOR]")
        .argument::<String>("NAME")
        .optional()
        .map(|name| name.or_else(|| variable(OPERATOR)));
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

fn variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|text| !text.is_empty())
}

fn addresses(texts: &[String]) -> Result<Vec<SocketAddr>, String> {
    let from_variable = variable(ENTRY).filter(|_| texts.is_empty());
    let parts = texts
        .iter()
        .chain(&from_variable)
        .flat_map(|text| text.split(','));
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
