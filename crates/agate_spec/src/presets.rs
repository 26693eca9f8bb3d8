//! Replay of `spec/presets.pml`: preset switches, withdrawal and resumption.

use agate_core::{Position, Version};
use agate_records::{BatchId, PresetPublished, PresetSwitched, Resumed, Withdrawn};
use agate_wire::message::{Selector, StopMode};

use crate::action::{Action, TraceError};
use crate::folded_log::FoldedLog;
use crate::replay::Comparison;

/// Batch of the withdrawal; applied once even if it is appended again.
const WITHDRAWAL_BATCH: BatchId = BatchId(u128::MAX);

/// Batch of the resumption; applied once even if it is appended again.
const RESUMPTION_BATCH: BatchId = BatchId(u128::MAX - 1);

const PRESET_NAME: &str = "ordinary-day";

/// Largest number of switches in the specification.
const MAX_SWITCHES: usize = 3;

/// Folded log and the version of each applied switch.
#[derive(Debug)]
pub(crate) struct PresetsReplay {
    log: FoldedLog,
    switches: Vec<Version>,
}

impl PresetsReplay {
    /// All actions of the specification.
    pub(crate) const ACTIONS: &[&str] = &["switch", "withdraw", "resume"];

    pub(crate) fn new() -> Self {
        let mut log = FoldedLog::new();
        let json = r#"{"kind": "ordinary"}"#.to_owned();
        log.append(PresetPublished {
            name: PRESET_NAME.to_owned(),
            json,
            operator: String::new(),
        });
        Self {
            log,
            switches: vec![Version(Position::default())],
        }
    }

    pub(crate) fn step(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        match action.name.as_str() {
            "switch" => self.switch(action),
            "withdraw" => self.withdraw(action),
            "resume" => self.resume(action),
            other => Err(TraceError::Unknown(other.to_owned())),
        }
    }

    fn switch(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let expected = self.switches[action.argument(1)? as usize];
        if self.switches.len() > MAX_SWITCHES {
            // The specification allows no more switches; the code has no such limit.
            return Ok(Comparison::none());
        }
        let record = PresetSwitched {
            name: PRESET_NAME.to_owned(),
            expected,
            operator: String::new(),
        };
        let (applied, position) = self.log.append(record);
        if applied {
            self.switches.push(Version(position));
        }
        Ok(Comparison::new(action.flag(2)?, applied))
    }

    fn withdraw(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let withdrawn = Withdrawn {
            selector: selector(),
            mode: StopMode::Finish,
            operator: String::new(),
        };
        self.log.append_as(WITHDRAWAL_BATCH, withdrawn);
        self.compare_withdrawn(action)
    }

    fn resume(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        self.log.append_as(
            RESUMPTION_BATCH,
            Resumed {
                selector: selector(),
                operator: String::new(),
            },
        );
        self.compare_withdrawn(action)
    }

    fn compare_withdrawn(&self, action: &Action) -> Result<Comparison, TraceError> {
        let actual = !self.log.state.config().withdrawals.is_empty();
        Ok(Comparison::new(action.flag(0)?, actual))
    }
}

fn selector() -> Selector {
    Selector::Class("rebalance".parse().expect("the name is valid"))
}
