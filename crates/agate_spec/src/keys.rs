//! `spec/keys.pml`: one idempotency key.

use std::time::Duration;

use agate_bind::key::{KeyBindOutcome, KeyLimits, KeyStatus, KeyTable};
use agate_core::{Incarnation, Key, Offset, Position};
use agate_records::KeyBound;
use agate_state::{KeyBindings, KeyEffect};

use crate::action::{Action, TraceError};
use crate::replay::Compared;

/// Time for which a key is remembered.
const WINDOW: Duration = Duration::from_mins(15);

/// When the key was made, in milliseconds since the Unix epoch.
const MADE_MS: u64 = 1_790_000_000_000;

/// Time after the window within which no agent forgets the key.
const JUST_EXPIRED: Duration = Duration::from_millis(1);

/// Time after the window by which every agent may forget it.
const LONG_EXPIRED: Duration = Duration::from_hours(1);

/// The stream of bindings and two agents.
#[derive(Debug)]
pub(crate) struct Keys {
    bindings: KeyBindings,
    appends: u64,
    agents: [KeyTable<u32>; 2],
    /// Time past the making of the key, by agent.
    age: [Duration; 2],
}

impl Keys {
    /// Every action of the specification.
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

    pub(crate) fn step(&mut self, action: &Action) -> Result<Compared, TraceError> {
        match action.name.as_str() {
            "bind" => self.bind(action),
            "serve" => self.serve(action),
            "start" => self.start(action),
            "finish" => self.finish(action),
            "refuse" => self.refuse(action),
            "forget" => self.forget(action),
            "expire" => Ok(self.expire()),
            "die" => Ok(Compared::nothing()),
            other => Err(TraceError::Unknown(other.to_owned())),
        }
    }

    fn wall(&self, agent: usize) -> u64 {
        MADE_MS + u64::try_from(self.age[agent].as_millis()).unwrap_or(u64::MAX)
    }

    fn bind(&mut self, action: &Action) -> Result<Compared, TraceError> {
        self.appends += 1;
        let incarnation = Incarnation::new(u64::from(action.number(0)?) + 1);
        let record = KeyBound {
            key: key(),
            incarnation,
            address: ([127, 0, 0, 1], 7_000).into(),
        };
        let effect = self
            .bindings
            .apply(Position::new(Offset(self.appends), 0), &record, MADE_MS);
        Ok(Compared::new(
            action.truth(1)?,
            matches!(effect, KeyEffect::Bound),
        ))
    }

    fn serve(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let agent = index(action)?;
        let wall = self.wall(agent);
        let coded = match self.agents[agent].bind(key(), wall) {
            KeyBindOutcome::New => 1,
            KeyBindOutcome::Known(fate) => code(&fate),
            KeyBindOutcome::Refused(_) => 0,
        };
        Ok(Compared::new(action.number(2)?, coded))
    }

    fn start(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let started = self.agents[index(action)?].start(key());
        Ok(Compared::new(true, started.is_ok()))
    }

    fn finish(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let finished = self.agents[index(action)?].finish(key(), 7, 4);
        Ok(Compared::new(true, finished.is_ok()))
    }

    /// A refusal of a waiting key, or a fate query that tombstones one that is unknown.
    fn refuse(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let agent = index(action)?;
        let wall = self.wall(agent);
        let table = &mut self.agents[agent];
        if table.refuse(key()).is_err() {
            table.tombstone(key(), wall);
        }
        Ok(Compared::new(4, code(&table.status(key()))))
    }

    /// Long after the window, an agent that is asked again has forgotten the key and says so.
    fn forget(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let agent = index(action)?;
        self.age[agent] = WINDOW + LONG_EXPIRED;
        let wall = self.wall(agent);
        let refused = matches!(
            self.agents[agent].bind(key(), wall),
            KeyBindOutcome::Refused(_)
        );
        let said = matches!(self.agents[agent].tombstone(key(), wall), KeyStatus::NotRun);
        Ok(Compared::new((true, false), (refused, said)))
    }

    fn expire(&mut self) -> Compared {
        self.age = [WINDOW + JUST_EXPIRED; 2];
        Compared::nothing()
    }
}

fn index(action: &Action) -> Result<usize, TraceError> {
    Ok(usize::from(action.truth(0)?))
}

fn key() -> Key {
    Key::from_parts(MADE_MS, [7; 10])
}

/// The number of a state in the specification.
fn code(fate: &KeyStatus<u32>) -> u32 {
    match fate {
        KeyStatus::Queued => 1,
        KeyStatus::Running => 2,
        KeyStatus::Done(_) | KeyStatus::AnswerDropped | KeyStatus::Failed(_) => 3,
        KeyStatus::NotRun => 4,
        KeyStatus::Unbound | KeyStatus::Expired => 0,
    }
}
