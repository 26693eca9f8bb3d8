//! Options of every command.

use std::net::SocketAddr;

use agate_settings::{Secret, Stop};
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct};
use strum::{Display, EnumString, VariantNames};

use super::Command;
use super::command::command;
use crate::ExitStatus;

/// Column at which help text is wrapped.
const HELP_COLUMNS: usize = 100;

/// Environment variable with the addresses of entries.
const ENTRY_VAR: &str = "AGATECTL_ENTRY";
/// Environment variable with the token.
const TOKEN_VAR: &str = "AGATECTL_TOKEN";
/// Environment variable with the name of the operator.
const OPERATOR_VAR: &str = "AGATECTL_OPERATOR";

/// The command and its options.
#[derive(Debug, Clone)]
pub struct Options {
    /// Operator addresses of entries, tried in order.
    pub entries: Vec<SocketAddr>,
    /// Operator token.
    pub token: Secret,
    /// Name of the operator, recorded in the history.
    pub operator: Option<String>,
    /// Output format.
    pub output: OutputFormat,
    /// The command.
    pub command: Command,
}

/// Output format of a command.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "kebab-case")]
pub enum OutputFormat {
    /// Human-readable table.
    Table,
    /// JSON response of the entry.
    Json,
}

/// Parses the command line, without the program's name.
///
/// # Errors
///
/// Returns the text to print and the exit code if help or the version was requested, or if the
/// command line is invalid.
pub fn parse(args: &[String]) -> Result<Options, Stop> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = Args::from(args.as_slice()).set_name("agatectl");
    parser()
        .run_inner(args)
        .map_err(|failure| to_stop(&failure))
}

fn to_stop(failure: &ParseFailure) -> Stop {
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
    // `bpaf` would print the values of variables in its help, so they are read here.
    let entries = bpaf::long("entry")
        .help("Operator address of an entry; several, repeated or joined by commas, are tried in order [AGATECTL_ENTRY]")
        .argument::<String>("ADDR")
        .many()
        .parse(|texts| parse_addresses(&texts));
    let token = bpaf::long("token")
        .help("Operator token; prefer the variable, since other users can see command lines [AGATECTL_TOKEN]")
        .argument::<String>("TOKEN")
        .fallback_with(|| read_variable(TOKEN_VAR).ok_or("set AGATECTL_TOKEN or --token"))
        .map(Secret::new);
    let operator = bpaf::long("operator")
        .help("Your name, recorded in the history [AGATECTL_OPERATOR]")
        .argument::<String>("NAME")
        .optional()
        .map(|name| name.or_else(|| read_variable(OPERATOR_VAR)));
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

fn read_variable(name: &str) -> Option<String> {
    std::env::var(name).ok().filter(|text| !text.is_empty())
}

fn parse_addresses(texts: &[String]) -> Result<Vec<SocketAddr>, String> {
    let from_variable = read_variable(ENTRY_VAR).filter(|_| texts.is_empty());
    let parts = texts
        .iter()
        .chain(&from_variable)
        .flat_map(|text| text.split(','));
    let parts = parts.map(str::trim).filter(|part| !part.is_empty());
    let addresses: Result<Vec<SocketAddr>, String> = parts.map(parse_address).collect();
    match addresses {
        Ok(addresses) if addresses.is_empty() => {
            Err("set --entry or AGATECTL_ENTRY to the operator address of an entry".to_owned())
        }
        addresses => addresses,
    }
}

fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|error| {
        format!("expected an IP address and port such as 10.0.0.7:7002, found {text:?}: {error}")
    })
}
