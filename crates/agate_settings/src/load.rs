//! Loads settings from flags and environment variables.

use agate_core::Findings;
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct};

use crate::value::Value;
use crate::values::{Item, Source};
use crate::{Describe, Program, Setting, Values};

/// Exit code for invalid settings or an invalid command line.
const EXIT_USAGE: u8 = 2;

/// Column at which help text is wrapped.
const HELP_COLUMNS: usize = 100;

/// Environment variables as pairs of name and value.
#[derive(Debug, Clone, Default)]
pub struct Environment(Vec<(String, String)>);

impl Environment {
    /// Returns the variables of this process, without those that are not valid Unicode.
    pub fn of_process() -> Self {
        let pairs = std::env::vars_os();
        Self(
            pairs
                .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)))
                .collect(),
        )
    }

    /// Creates an instance from the given variables.
    pub fn from_pairs(pairs: &[(&str, &str)]) -> Self {
        Self(
            pairs
                .iter()
                .map(|(k, v)| ((*k).to_owned(), (*v).to_owned()))
                .collect(),
        )
    }

    fn get(&self, name: &str) -> Option<&str> {
        self.0
            .iter()
            .find(|(k, _)| k == name)
            .map(|(_, v)| v.as_str())
    }
}

/// Valid settings.
#[derive(Debug, Clone)]
pub struct Loaded<S> {
    /// The effective settings.
    pub values: Values<S>,
}

/// What a program prints and returns if it exits right after reading its command line.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// Text to print.
    pub text: String,
    /// Exit code: 0 for help, version and a successful check; 2 for invalid settings.
    pub code: u8,
}

impl Stop {
    /// Prints the text, to standard output if the exit code is 0 and to standard error otherwise.
    pub fn print(&self) {
        if self.code == 0 {
            println!("{}", self.text.trim_end());
        } else {
            eprintln!("{}", self.text.trim_end());
        }
    }
}

/// Loads the settings of `program` from `args` (without the program's name) and `environment`.
///
/// # Errors
///
/// Returns the text to print and the exit code if help, the version or a check was requested, or if
/// settings are missing or invalid. In the latter case the text lists every finding.
pub fn load<S: Describe>(
    program: &Program,
    args: &[String],
    environment: &Environment,
) -> Result<Loaded<S>, Stop> {
    let command_line = parse::<S>(program, args)?;
    let mut findings = Findings::new();
    let items = check_all(&command_line.texts, environment, &mut findings);
    check_unknown::<S>(program, environment, &mut findings);
    if !findings.is_empty() {
        return Err(Stop {
            text: findings.to_string(),
            code: EXIT_USAGE,
        });
    }
    let values = Values { items };
    if command_line.check {
        return Err(Stop {
            text: values.summary(),
            code: 0,
        });
    }
    Ok(Loaded { values })
}

#[derive(Debug, Clone)]
struct CommandLine {
    texts: Vec<Option<String>>,
    check: bool,
}

fn parse<S: Describe>(program: &Program, args: &[String]) -> Result<CommandLine, Stop> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = Args::from(args.as_slice()).set_name(program.name);
    option_parser::<S>(program)
        .run_inner(args)
        .map_err(|failure| to_stop(&failure))
}

fn to_stop(failure: &ParseFailure) -> Stop {
    match failure {
        ParseFailure::Stdout(doc, full) => Stop {
            text: doc.monochrome(*full),
            code: 0,
        },
        ParseFailure::Completion(text) => Stop {
            text: text.clone(),
            code: 0,
        },
        ParseFailure::Stderr(doc) => Stop {
            text: doc.monochrome(true),
            code: EXIT_USAGE,
        },
    }
}

fn option_parser<S: Describe>(program: &Program) -> OptionParser<CommandLine> {
    let check = bpaf::long("check")
        .help("Check the settings, print them and exit")
        .switch();
    let empty: Box<dyn Parser<Vec<Option<String>>>> = bpaf::pure(Vec::new()).boxed();
    let texts = S::iter().fold(empty, |list, setting| {
        append_parser(list, argument_parser(&setting.describe()))
    });
    construct!(CommandLine { texts, check })
        .to_options()
        .descr(program.about)
        .version(env!("CARGO_PKG_VERSION"))
        .max_width(HELP_COLUMNS)
}

fn append_parser(
    list: Box<dyn Parser<Vec<Option<String>>>>,
    next: Box<dyn Parser<Option<String>>>,
) -> Box<dyn Parser<Vec<Option<String>>>> {
    let joined = construct!(list, next).map(|(mut list, next)| {
        list.push(next);
        list
    });
    joined.boxed()
}

fn argument_parser(setting: &Setting) -> Box<dyn Parser<Option<String>>> {
    let default = setting.default.map_or_else(
        || "required".to_owned(),
        |text| format!("default: {text:?}"),
    );
    let help = format!("{} [{}; {}]", setting.about, setting.variable, default);
    bpaf::long(setting.flag)
        .help(help.as_str())
        .argument::<String>("VALUE")
        .optional()
        .boxed()
}

fn check_all<S: Describe>(
    texts: &[Option<String>],
    environment: &Environment,
    findings: &mut Findings,
) -> Vec<Item<S>> {
    let pairs = S::iter().zip(texts);
    pairs
        .filter_map(|(setting, text)| check_one(setting, text.as_deref(), environment, findings))
        .collect()
}

fn check_one<S: Describe>(
    setting: S,
    text: Option<&str>,
    environment: &Environment,
    findings: &mut Findings,
) -> Option<Item<S>> {
    let description = setting.describe();
    let flag = format!("--{}", description.flag);
    let (place, text, source) = match (
        text,
        environment.get(description.variable),
        description.default,
    ) {
        (Some(text), _, _) => (flag.as_str(), text, Source::Flag),
        (None, Some(text), _) => (description.variable, text, Source::Variable),
        (None, None, Some(text)) => (flag.as_str(), text, Source::Default),
        (None, None, None) => {
            findings.add(
                flag,
                format!(
                    "missing; give it or set {} ({})",
                    description.variable, description.unit
                ),
            );
            return None;
        }
    };
    // A secret with an empty default is optional; its length is not checked if it is not given.
    let is_absent = source == Source::Default && text.is_empty();
    let value = if is_absent && description.kind == crate::Kind::Secret {
        Some(Value::Secret(crate::Secret::new("")))
    } else {
        Value::parse(&description, place, text, findings)
    };
    value.map(|value| Item {
        setting,
        value,
        source,
    })
}

fn check_unknown<S: Describe>(
    program: &Program,
    environment: &Environment,
    findings: &mut Findings,
) {
    let known: Vec<&str> = S::iter()
        .map(|setting| setting.describe().variable)
        .collect();
    let prefixed = environment
        .0
        .iter()
        .map(|(name, _)| name)
        .filter(|name| name.starts_with(program.prefix));
    for name in prefixed.filter(|name| !known.contains(&name.as_str())) {
        findings.add(
            name.clone(),
            "unknown variable; remove it or correct its spelling",
        );
    }
}
