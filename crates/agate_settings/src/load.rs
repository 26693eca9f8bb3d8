//! Loading of settings from flags and environment variables.

use agate_core::Findings;
use bpaf::{Args, OptionParser, ParseFailure, Parser, construct};

use crate::value::Value;
use crate::values::{Item, Source};
use crate::{Describe, Program, Setting, Values};

/// Exit code for bad settings or a bad command line.
const EXIT_USAGE: u8 = 2;

/// Width to which help text is wrapped.
const HELP_COLUMNS: usize = 100;

/// Environment variables as name and value.
#[derive(Debug, Clone, Default)]
pub struct Environment(Vec<(String, String)>);

impl Environment {
    /// Takes the variables of this process; those that are not valid Unicode are left out.
    pub fn of_process() -> Self {
        let pairs = std::env::vars_os();
        Self(
            pairs
                .filter_map(|(k, v)| Some((k.into_string().ok()?, v.into_string().ok()?)))
                .collect(),
        )
    }

    /// Takes the given variables.
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

/// Settings that passed every check.
#[derive(Debug, Clone)]
pub struct Loaded<S> {
    /// The effective settings.
    pub values: Values<S>,
}

/// Why a program ends before it starts its work.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Stop {
    /// What to print.
    pub text: String,
    /// The exit code: 0 for help, version and a clean check; 2 for bad settings.
    pub code: u8,
}

impl Stop {
    /// Prints the text, to standard output if all is well and to standard error otherwise.
    pub fn print(&self) {
        if self.code == 0 {
            println!("{}", self.text.trim_end());
        } else {
            eprintln!("{}", self.text.trim_end());
        }
    }
}

/// Reads the settings of `program` from `args` (without the program's name) and `environment`.
///
/// # Errors
///
/// Returns what to print and the exit code when help, the version or a check was asked for, or
/// with every finding when a setting is missing or wrong.
pub fn load<S: Describe>(
    program: &Program,
    args: &[String],
    environment: &Environment,
) -> Result<Loaded<S>, Stop> {
    let raw = parse::<S>(program, args)?;
    let mut findings = Findings::new();
    let items = check_all(&raw.texts, environment, &mut findings);
    check_unknown::<S>(program, environment, &mut findings);
    if !findings.is_empty() {
        return Err(Stop {
            text: findings.to_string(),
            code: EXIT_USAGE,
        });
    }
    let values = Values { items };
    if raw.check {
        return Err(Stop {
            text: values.summary(),
            code: 0,
        });
    }
    Ok(Loaded { values })
}

#[derive(Debug, Clone)]
struct Raw {
    texts: Vec<Option<String>>,
    check: bool,
}

fn parse<S: Describe>(program: &Program, args: &[String]) -> Result<Raw, Stop> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    let args = Args::from(args.as_slice()).set_name(program.name);
    options::<S>(program)
        .run_inner(args)
        .map_err(|failure| stop(&failure))
}

fn stop(failure: &ParseFailure) -> Stop {
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

fn options<S: Describe>(program: &Program) -> OptionParser<Raw> {
    let check = bpaf::long("check")
        .help("Check the settings, print them and exit")
        .switch();
    let none: Box<dyn Parser<Vec<Option<String>>>> = bpaf::pure(Vec::new()).boxed();
    let texts = S::iter().fold(none, |list, setting| {
        append(list, argument(&setting.describe()))
    });
    construct!(Raw { texts, check })
        .to_options()
        .descr(program.about)
        .version(env!("CARGO_PKG_VERSION"))
        .max_width(HELP_COLUMNS)
}

fn append(
    list: Box<dyn Parser<Vec<Option<String>>>>,
    next: Box<dyn Parser<Option<String>>>,
) -> Box<dyn Parser<Vec<Option<String>>>> {
    let joined = construct!(list, next).map(|(mut list, next)| {
        list.push(next);
        list
    });
    joined.boxed()
}

fn argument(setting: &Setting) -> Box<dyn Parser<Option<String>>> {
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
    let described = setting.describe();
    let flag = format!("--{}", described.flag);
    let (place, text, source) = match (text, environment.get(described.variable), described.default)
    {
        (Some(text), _, _) => (flag.as_str(), text, Source::Flag),
        (None, Some(text), _) => (described.variable, text, Source::Variable),
        (None, None, Some(text)) => (flag.as_str(), text, Source::Default),
        (None, None, None) => {
            findings.add(
                flag,
                format!(
                    "missing; give it or set {} ({})",
                    described.variable, described.unit
                ),
            );
            return None;
        }
    };
    // An empty default stands for a secret or text that was left out.
    let absent = source == Source::Default && text.is_empty();
    let value = if absent && described.kind == crate::Kind::Secret {
        Some(Value::Secret(crate::Secret::new("")))
    } else {
        Value::parse(&described, place, text, findings)
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
    let ours = environment
        .0
        .iter()
        .map(|(name, _)| name)
        .filter(|name| name.starts_with(program.prefix));
    for name in ours.filter(|name| !known.contains(&name.as_str())) {
        findings.add(
            name.clone(),
            "unknown variable; remove it or correct its spelling",
        );
    }
}
