//! Replay of a trace.

use std::collections::BTreeMap;
use std::str::FromStr;

use strum::EnumIter;

use crate::action::{Action, TraceError};
use crate::keys::KeysReplay;
use crate::presets::PresetsReplay;
use crate::runs::RunsReplay;

/// Specification in `spec/`.
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
    /// Returns all actions of the specification.
    pub const fn actions(self) -> &'static [&'static str] {
        match self {
            Self::Runs => RunsReplay::ACTIONS,
            Self::Keys => KeysReplay::ACTIONS,
            Self::Presets => PresetsReplay::ACTIONS,
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

/// Number of replayed actions by name.
pub type ActionCounts = BTreeMap<String, usize>;

/// States of the specification and the code after an action.
pub(crate) struct Comparison {
    pub(crate) expected: String,
    pub(crate) actual: String,
}

impl Comparison {
    pub(crate) fn new(expected: impl std::fmt::Debug, actual: impl std::fmt::Debug) -> Self {
        Self {
            expected: format!("{expected:?}"),
            actual: format!("{actual:?}"),
        }
    }

    /// Returns the comparison of an action without a state to compare.
    pub(crate) fn none() -> Self {
        Self::new((), ())
    }
}

/// Replays every action of a trace on the code.
///
/// # Errors
///
/// Fails at the first line that is not a valid action or after which the states differ.
pub fn replay(spec: Spec, trace: &str) -> Result<ActionCounts, TraceError> {
    match spec {
        Spec::Runs => replay_with(trace, &mut RunsReplay::new(), RunsReplay::step),
        Spec::Keys => replay_with(trace, &mut KeysReplay::new(), KeysReplay::step),
        Spec::Presets => replay_with(trace, &mut PresetsReplay::new(), PresetsReplay::step),
    }
}

fn replay_with<T>(
    trace: &str,
    state: &mut T,
    step_action: fn(&mut T, &Action) -> Result<Comparison, TraceError>,
) -> Result<ActionCounts, TraceError> {
    let mut replayed = ActionCounts::new();
    for (step, line) in trace.lines().enumerate() {
        let action: Action = line.parse()?;
        let Comparison { expected, actual } = step_action(state, &action)?;
        if expected != actual {
            return Err(TraceError::Mismatch {
                step: step + 1,
                action: line.trim().to_owned(),
                expected,
                actual,
            });
        }
        *replayed.entry(action.name).or_default() += 1;
    }
    Ok(replayed)
}
