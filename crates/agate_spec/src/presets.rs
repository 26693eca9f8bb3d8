//! `spec/presets.pml`: switches of the preset in force, withdrawal and resumption.

use agate_core::{Position, Version};
use agate_records::{BatchId, PresetPublished, PresetSwitched, Resumed, Withdrawn};
use agate_wire::message::{Selector, StopMode};

use crate::action::{Action, TraceError};
use crate::records::Folded;
use crate::replay::Compared;

/// Batch of the withdrawal; a copy of it counts once.
const WITHDRAWAL: BatchId = BatchId(u128::MAX);

/// Batch of the resumption.
const RESUMPTION: BatchId = BatchId(u128::MAX - 1);

const NAME: &str = "ordinary-day";

/// The highest version in the specification.
const SWITCHES: usize = 3;

/// The log, with the place of each switch that counted.
#[derive(Debug)]
pub(crate) struct Presets {
    log: Folded,
    switches: Vec<Version>,
}

impl Presets {
    /// Every action of the specification.
    pub(crate) const ACTIONS: &[&str] = &["switch", "withdraw", "resume"];

    pub(crate) fn new() -> Self {
        let mut log = Folded::new();
        let json = r#"{"kind": "ordinary"}"#.to_owned();
        log.append(PresetPublished {
            name: NAME.to_owned(),
            json,
            operator: String::new(),
        });
        Self {
            log,
            switches: vec![Version(Position::default())],
        }
    }

    pub(crate) fn step(&mut self, action: &Action) -> Result<Compared, TraceError> {
        match action.name.as_str() {
            "switch" => self.switch(action),
            "withdraw" => self.withdraw(action),
            "resume" => self.resume(action),
            other => Err(TraceError::Unknown(other.to_owned())),
        }
    }

    fn switch(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let expected = self.switches[action.number(1)? as usize];
        if self.switches.len() > SWITCHES {
            // The specification ends here; the code has no such end.
            return Ok(Compared::nothing());
        }
        let record = PresetSwitched {
            name: NAME.to_owned(),
            expected,
            operator: String::new(),
        };
        let (counts, place) = self.log.append(record);
        if counts {
            self.switches.push(Version(place));
        }
        Ok(Compared::new(action.truth(2)?, counts))
    }

    fn withdraw(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let withdrawn = Withdrawn {
            selector: selector(),
            mode: StopMode::Finish,
            operator: String::new(),
        };
        self.log.append_as(WITHDRAWAL, withdrawn);
        self.compare_withdrawn(action)
    }

    fn resume(&mut self, action: &Action) -> Result<Compared, TraceError> {
        self.log.append_as(
            RESUMPTION,
            Resumed {
                selector: selector(),
                operator: String::new(),
            },
        );
        self.compare_withdrawn(action)
    }

    fn compare_withdrawn(&self, action: &Action) -> Result<Compared, TraceError> {
        let coded = !self.log.state.config().withdrawals.is_empty();
        Ok(Compared::new(action.truth(0)?, coded))
    }
}

fn selector() -> Selector {
    Selector::Class("rebalance".parse().expect("the name is valid"))
}
