//! `spec/runs.pml`: one run of a task at a time.

use std::collections::HashMap;
use std::time::Duration;

use agate_bind::run::{RunBindOutcome, RunEnd as AgentEnd, RunState, RunStep, RunTable};
use agate_core::{Incarnation, JobId, Moment, Position, Resources, RunId, TaskId};
use agate_records::{JobSubmitted, MemberLost, Resumed, RunBound, RunEnd, RunEnded, Withdrawn};
use agate_wire::message::{Selector, StopMode};

use crate::action::{Action, TraceError};
use crate::records::Folded;
use crate::replay::Compared;

/// Length of a tick.
const TICK: Duration = Duration::from_secs(1);

const DEMAND: Resources = Resources::new(1_000, 512, 0);
const JOB: JobId = JobId(1);

/// The log, two agents and the lease of the first.
#[derive(Debug)]
pub(crate) struct Runs {
    log: Folded,
    agents: [RunTable; 2],
    bound: HashMap<u32, Position>,
    now: Moment,
    /// What is left of a lease in an acknowledgement under way, in ticks.
    grant: u32,
    /// What is left of the lease by the specification, in ticks.
    lease: u32,
}

impl Runs {
    /// Every action of the specification.
    pub(crate) const ACTIONS: &[&str] = &[
        "tick",
        "withdraw",
        "resume",
        "lost",
        "bind",
        "end",
        "lost_end",
        "start",
        "tombstone",
        "finish",
        "evict",
        "grant",
        "renew",
    ];

    pub(crate) fn new() -> Self {
        let mut log = Folded::new();
        log.append(job());
        let agent = || RunTable::new(Resources::new(16_000, 16_000, 0), 64);
        let agents = [agent(), agent()];
        Self {
            log,
            agents,
            bound: HashMap::new(),
            now: Moment::from_millis(1_000),
            grant: 0,
            lease: 0,
        }
    }

    pub(crate) fn step(&mut self, action: &Action) -> Result<Compared, TraceError> {
        match action.name.as_str() {
            "tick" => Ok(self.tick()),
            "withdraw" => Ok(self.withdraw()),
            "resume" => Ok(self.resume()),
            "lost" => Ok(self.lost()),
            "bind" => self.bind(action),
            "end" => self.end(action),
            "lost_end" => self.lost_end(action),
            "start" => self.start(action),
            "tombstone" => self.tombstone(action),
            "finish" => self.finish(action),
            "evict" => self.evict(action),
            "grant" => self.grant(action),
            "renew" => self.renew(action),
            other => Err(TraceError::Unknown(other.to_owned())),
        }
    }

    fn tick(&mut self) -> Compared {
        self.now = self.now + TICK;
        self.grant = self.grant.saturating_sub(1);
        self.lease = self.lease.saturating_sub(1);
        self.compare_lease()
    }

    /// The lease has lapsed in the code exactly when nothing is left of it by the specification.
    fn compare_lease(&self) -> Compared {
        Compared::new(self.lease == 0, self.agents[0].lease().is_expired(self.now))
    }

    fn withdraw(&mut self) -> Compared {
        let withdrawn = Withdrawn {
            selector: selector(),
            mode: StopMode::Finish,
            operator: String::new(),
        };
        Compared::new(true, self.log.append(withdrawn).0)
    }

    fn resume(&mut self) -> Compared {
        let resumed = Resumed {
            selector: selector(),
            operator: String::new(),
        };
        Compared::new(true, self.log.append(resumed).0)
    }

    fn lost(&mut self) -> Compared {
        Compared::new(
            true,
            self.log
                .append(MemberLost {
                    incarnation: incarnation(0),
                })
                .0,
        )
    }

    fn bind(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let epoch = action.number(1)?;
        let holder = incarnation(action.number(0)?);
        let record = RunBound {
            run: run(epoch),
            incarnation: holder,
            demand: DEMAND,
        };
        let (counts, place) = self.log.append(record);
        if counts {
            self.bound.insert(epoch, place);
        }
        Ok(Compared::new(action.truth(2)?, counts))
    }

    fn end(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let end = match action.number(2)? {
            2 => RunEnd::Finished,
            3 => RunEnd::Evicted {
                checkpoint: "half".to_owned(),
            },
            _ => RunEnd::NotStarted {
                reason: "refused".to_owned(),
            },
        };
        let counts = self.append_end(action.number(1)?, action.number(0)?, end);
        Ok(Compared::new(action.truth(3)?, counts))
    }

    fn lost_end(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let counts = self.append_end(action.number(0)?, 0, RunEnd::Lost);
        Ok(Compared::new(action.truth(1)?, counts))
    }

    fn append_end(&mut self, epoch: u32, holder: u32, end: RunEnd) -> bool {
        let ended = RunEnded {
            run: run(epoch),
            incarnation: incarnation(holder),
            end,
            peak: Resources::ZERO,
        };
        self.log.append(ended).0
    }

    fn start(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let epoch = action.number(1)?;
        let place = self.bound.get(&epoch).copied().unwrap_or_default();
        let agent = self.agent(action)?;
        if agent.bind(run(epoch), place, DEMAND) == RunBindOutcome::New {
            // A new run is in the state that the start asks for.
            let _ = agent.start(run(epoch));
        }
        let coded = agent.state(run(epoch)).map(code);
        Ok(Compared::new(Some(action.number(2)?), coded))
    }

    fn tombstone(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let epoch = action.number(1)?;
        let agent = self.agent(action)?;
        agent.tombstone(run(epoch));
        Ok(Compared::new(
            Some(RunState::Tombstoned),
            agent.state(run(epoch)),
        ))
    }

    fn finish(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let epoch = action.number(1)?;
        let agent = self.agent(action)?;
        let ended = agent.end(run(epoch), AgentEnd::Finished);
        Ok(Compared::new(
            Ok::<(), agate_bind::run::RunTransitionError>(()),
            ended,
        ))
    }

    fn evict(&mut self, action: &Action) -> Result<Compared, TraceError> {
        let epoch = action.number(1)?;
        let agent = self.agent(action)?;
        agent.stop(run(epoch), RunStep::Evict);
        let ended = agent.end(run(epoch), AgentEnd::Evicted);
        Ok(Compared::new(
            Ok::<(), agate_bind::run::RunTransitionError>(()),
            ended,
        ))
    }

    fn grant(&mut self, action: &Action) -> Result<Compared, TraceError> {
        self.grant = action.number(0)?;
        Ok(Compared::nothing())
    }

    fn renew(&mut self, action: &Action) -> Result<Compared, TraceError> {
        self.agents[0].renew(self.now, TICK * self.grant);
        self.grant = 0;
        self.lease = action.number(0)?;
        Ok(self.compare_lease())
    }

    fn agent(&mut self, action: &Action) -> Result<&mut RunTable, TraceError> {
        let index = usize::from(action.truth(0)?);
        Ok(&mut self.agents[index])
    }
}

/// The number of a state in the specification.
fn code(state: RunState) -> u32 {
    match state {
        RunState::Starting | RunState::Running(_) | RunState::Stopping(_) => 1,
        RunState::Ended(AgentEnd::Evicted) => 3,
        RunState::Ended(_) => 2,
        RunState::Tombstoned => 4,
        RunState::Acknowledged | RunState::Lost => u32::MAX,
    }
}

fn run(epoch: u32) -> RunId {
    RunId {
        task: TaskId { job: JOB, index: 0 },
        epoch,
    }
}

fn incarnation(index: u32) -> Incarnation {
    Incarnation::new(u64::from(index) + 1)
}

fn selector() -> Selector {
    Selector::Class("rebalance".parse().expect("the name is valid"))
}

fn job() -> JobSubmitted {
    JobSubmitted {
        job: JOB,
        caller: "caller".parse().expect("the name is valid"),
        team: "team".parse().expect("the name is valid"),
        class: "rebalance".parse().expect("the name is valid"),
        tags: Vec::new(),
        tasks: 1,
        declared: DEMAND,
        payload: String::new(),
    }
}
