//! Replay of `spec/keys.pml`: one idempotency key.

use std::time::Duration;

use agate_bind::key::{KeyBindOutcome, KeyLimits, KeyStatus, KeyTable};
use agate_core::{Incarnation, Key, Offset, Position};
use agate_records::KeyBound;
use agate_state::{KeyBindings, KeyEffect};

use crate::action::{Action, TraceError};
use crate::replay::Comparison;

/// Retention window of the key.
const WINDOW: Duration = Duration::from_mins(15);

/// Creation time of the key, in milliseconds since the Unix epoch.
const CREATED_MS: u64 = 1_790_000_000_000;

/// Time after the window at which agents still keep the key.
const JUST_EXPIRED: Duration = Duration::from_millis(1);

/// Time after the window at which agents have forgotten the key.
const LONG_EXPIRED: Duration = Duration::from_hours(1);

/// Key bindings in the log and the key tables of two agents.
#[derive(Debug)]
pub(crate) struct KeysReplay {
    bindings: KeyBindings,
    appends: u64,
    agents: [KeyTable<u32>; 2],
    /// Time since the creation of the key, by agent.
    age: [Duration; 2],
}

impl KeysReplay {
    /// All actions of the specification.
    pub(crate) const ACTIONS: &[&str] = &[
        "bind", "serve", "start", "finish", "refuse", "forget", "expire", "die",
    ];

    pub(crate) fn new() -> Self {
        let limits = KeyLimits::builder()
            .window(WINDOW)
            .max_keys(16)
            .max_answer_bytes(1_024)
            .build();
        Self {
            bindings: KeyBindings::new(WINDOW),
            appends: 0,
            agents: [KeyTable::new(limits), KeyTable::new(limits)],
            age: [Duration::ZERO; 2],
        }
    }

    pub(crate) fn step(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        match action.name.as_str() {
            "bind" => self.bind(action),
            "serve" => self.serve(action),
            "start" => self.start(action),
            "finish" => self.finish(action),
            "refuse" => self.refuse(action),
            "forget" => self.forget(action),
            "expire" => Ok(self.expire()),
            "die" => Ok(Comparison::none()),
            other => Err(TraceError::Unknown(other.to_owned())),
        }
    }

    fn wall_ms(&self, agent: usize) -> u64 {
        CREATED_MS + u64::try_from(self.age[agent].as_millis()).unwrap_or(u64::MAX)
    }

    fn bind(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        self.appends += 1;
        let incarnation = Incarnation::new(u64::from(action.argument(0)?) + 1);
        let record = KeyBound {
            key: key(),
            incarnation,
            address: ([127, 0, 0, 1], 7_000).into(),
        };
        let effect =
            self.bindings
                .apply(Position::new(Offset(self.appends), 0), &record, CREATED_MS);
        Ok(Comparison::new(
            action.flag(1)?,
            matches!(effect, KeyEffect::Bound),
        ))
    }

    fn serve(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let agent = index(action)?;
        let wall_ms = self.wall_ms(agent);
        let actual = match self.agents[agent].bind(key(), wall_ms) {
            KeyBindOutcome::New => 1,
            KeyBindOutcome::Known(key_status) => spec_state(&key_status),
            KeyBindOutcome::Refused(_) => 0,
        };
        Ok(Comparison::new(action.argument(2)?, actual))
    }

    fn start(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let started = self.agents[index(action)?].start(key());
        Ok(Comparison::new(true, started.is_ok()))
    }

    fn finish(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let finished = self.agents[index(action)?].finish(key(), 7, 4);
        Ok(Comparison::new(true, finished.is_ok()))
    }

    /// Refuses a queued key, or tombstones an unknown key as a status query does.
    fn refuse(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let agent = index(action)?;
        let wall_ms = self.wall_ms(agent);
        let table = &mut self.agents[agent];
        if table.refuse(key()).is_err() {
            table.tombstone(key(), wall_ms);
        }
        Ok(Comparison::new(4, spec_state(&table.status(key()))))
    }

    /// Checks that an agent long after the window refuses the key and does not report it as not
    /// run.
    fn forget(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let agent = index(action)?;
        self.age[agent] = WINDOW + LONG_EXPIRED;
        let wall_ms = self.wall_ms(agent);
        let refused = matches!(
            self.agents[agent].bind(key(), wall_ms),
            KeyBindOutcome::Refused(_)
        );
        let reported_not_run = matches!(
            self.agents[agent].tombstone(key(), wall_ms),
            KeyStatus::NotRun
        );
        Ok(Comparison::new((true, false), (refused, reported_not_run)))
    }

    fn expire(&mut self) -> Comparison {
        self.age = [WINDOW + JUST_EXPIRED; 2];
        Comparison::none()
    }
}

fn index(action: &Action) -> Result<usize, TraceError> {
    Ok(usize::from(action.flag(0)?))
}

fn key() -> Key {
    Key::from_parts(CREATED_MS, [7; 10])
}

/// Returns the number of a state in the specification.
fn spec_state(key_status: &KeyStatus<u32>) -> u32 {
    match key_status {
        KeyStatus::Queued => 1,
        KeyStatus::Running => 2,
        KeyStatus::Done(_) | KeyStatus::AnswerDropped | KeyStatus::Failed(_) => 3,
        KeyStatus::NotRun => 4,
        KeyStatus::Unbound | KeyStatus::Expired => 0,
    }
}
