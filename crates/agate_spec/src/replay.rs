//! Replay of one trace.

use std::collections::BTreeMap;
use std::str::FromStr;

use strum::EnumIter;

use crate::action::{Action, TraceError};
use crate::keys::Keys;
use crate::presets::Presets;
use crate::runs::Runs;

/// A specification.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, EnumIter)]
pub enum Spec {
    /// `spec/runs.pml`.
    Runs,
    /// `spec/keys.pml`.
    Keys,
    /// `spec/presets.pml`.
    Presets,
}

impl Spec {
    /// Every action of the specification.
    pub const fn actions(self) -> &'static [&'static str] {
        match self {
            Self::Runs => Runs::ACTIONS,
            Self::Keys => Keys::ACTIONS,
            Self::Presets => Presets::ACTIONS,
        }
    }
}

impl FromStr for Spec {
    type Err = TraceError;

    fn from_str(text: &str) -> Result<Self, TraceError> {
        match text {
            "runs" => Ok(Self::Runs),
            "keys" => Ok(Self::Keys),
            "presets" => Ok(Self::Presets),
            other => Err(TraceError::Unknown(other.to_owned())),
        }
    }
}

/// How often each action was carried out.
pub type Replayed = BTreeMap<String, usize>;

/// What the code did in a step: the state by the specification and by the code.
pub(crate) struct Compared {
    pub(crate) specified: String,
    pub(crate) coded: String,
}

impl Compared {
    pub(crate) fn new(specified: impl std::fmt::Debug, coded: impl std::fmt::Debug) -> Self {
        Self {
            specified: format!("{specified:?}"),
            coded: format!("{coded:?}"),
        }
    }

    /// A step that leaves nothing to compare.
    pub(crate) fn nothing() -> Self {
        Self::new((), ())
    }
}

/// Carries out every action of a trace on the code.
///
/// # Errors
///
/// Fails at the first line that is not an action, or after which code and specification differ.
pub fn replay(spec: Spec, trace: &str) -> Result<Replayed, TraceError> {
    match spec {
        Spec::Runs => each(trace, &mut Runs::new(), Runs::step),
        Spec::Keys => each(trace, &mut Keys::new(), Keys::step),
        Spec::Presets => each(trace, &mut Presets::new(), Presets::step),
    }
}

fn each<T>(
    trace: &str,
    system: &mut T,
    act: fn(&mut T, &Action) -> Result<Compared, TraceError>,
) -> Result<Replayed, TraceError> {
    let mut replayed = Replayed::new();
    for (step, line) in trace.lines().enumerate() {
        let action: Action = line.parse()?;
        let Compared { specified, coded } = act(system, &action)?;
        if specified != coded {
            return Err(TraceError::Differs {
                step: step + 1,
                action: line.trim().to_owned(),
                specified,
                coded,
            });
        }
        *replayed.entry(action.name).or_default() += 1;
    }
    Ok(replayed)
}
