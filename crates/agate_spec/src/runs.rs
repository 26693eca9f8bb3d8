//! Replay of `spec/runs.pml`: at most one run of a task at a time.

use std::collections::HashMap;
use std::time::Duration;

use agate_bind::run::{RunBindOutcome, RunEnd as AgentEnd, RunState, RunStep, RunTable};
use agate_core::{Incarnation, JobId, Moment, Position, Resources, RunId, TaskId};
use agate_records::{JobSubmitted, MemberLost, Resumed, RunBound, RunEnd, RunEnded, Withdrawn};
use agate_wire::message::{Selector, StopMode};

use crate::action::{Action, TraceError};
use crate::folded_log::FoldedLog;
use crate::replay::Comparison;

/// Duration of a tick.
const TICK: Duration = Duration::from_secs(1);

const DEMAND: Resources = Resources::new(1_000, 512, 0);
const JOB: JobId = JobId(1);

/// Folded log, the run tables of two agents, and the lease of the first agent.
#[derive(Debug)]
pub(crate) struct RunsReplay {
    log: FoldedLog,
    agents: [RunTable; 2],
    binding_positions: HashMap<u32, Position>,
    now: Moment,
    /// Remaining ticks of the lease in an acknowledgement in transit.
    grant: u32,
    /// Remaining ticks of the lease in the specification.
    lease: u32,
}

impl RunsReplay {
    /// All actions of the specification.
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
        let mut log = FoldedLog::new();
        log.append(job());
        let agent = || RunTable::new(Resources::new(16_000, 16_000, 0), 64);
        let agents = [agent(), agent()];
        Self {
            log,
            agents,
            binding_positions: HashMap::new(),
            now: Moment::from_millis(1_000),
            grant: 0,
            lease: 0,
        }
    }

    pub(crate) fn step(&mut self, action: &Action) -> Result<Comparison, TraceError> {
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

    fn tick(&mut self) -> Comparison {
        self.now = self.now + TICK;
        self.grant = self.grant.saturating_sub(1);
        self.lease = self.lease.saturating_sub(1);
        self.compare_lease()
    }

    /// Compares whether the lease is expired in the specification and in the code.
    fn compare_lease(&self) -> Comparison {
        Comparison::new(self.lease == 0, self.agents[0].lease().is_expired(self.now))
    }

    fn withdraw(&mut self) -> Comparison {
        let withdrawn = Withdrawn {
            selector: selector(),
            mode: StopMode::Finish,
            operator: String::new(),
        };
        Comparison::new(true, self.log.append(withdrawn).0)
    }

    fn resume(&mut self) -> Comparison {
        let resumed = Resumed {
            selector: selector(),
            operator: String::new(),
        };
        Comparison::new(true, self.log.append(resumed).0)
    }

    fn lost(&mut self) -> Comparison {
        Comparison::new(
            true,
            self.log
                .append(MemberLost {
                    incarnation: incarnation(0),
                })
                .0,
        )
    }

    fn bind(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let epoch = action.argument(1)?;
        let holder = incarnation(action.argument(0)?);
        let record = RunBound {
            run: run(epoch),
            incarnation: holder,
            demand: DEMAND,
        };
        let (applied, position) = self.log.append(record);
        if applied {
            self.binding_positions.insert(epoch, position);
        }
        Ok(Comparison::new(action.flag(2)?, applied))
    }

    fn end(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let end = match action.argument(2)? {
            2 => RunEnd::Finished,
            3 => RunEnd::Evicted {
                checkpoint: "half".to_owned(),
            },
            _ => RunEnd::NotStarted {
                reason: "refused".to_owned(),
            },
        };
        let applied = self.append_end(action.argument(1)?, action.argument(0)?, end);
        Ok(Comparison::new(action.flag(3)?, applied))
    }

    fn lost_end(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let applied = self.append_end(action.argument(0)?, 0, RunEnd::Lost);
        Ok(Comparison::new(action.flag(1)?, applied))
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

    fn start(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let epoch = action.argument(1)?;
        let position = self
            .binding_positions
            .get(&epoch)
            .copied()
            .unwrap_or_default();
        let agent = self.agent(action)?;
        if agent.bind(run(epoch), position, DEMAND) == RunBindOutcome::New {
            // Starting a newly bound run always succeeds.
            let _ = agent.start(run(epoch));
        }
        let actual = agent.state(run(epoch)).map(spec_state);
        Ok(Comparison::new(Some(action.argument(2)?), actual))
    }

    fn tombstone(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let epoch = action.argument(1)?;
        let agent = self.agent(action)?;
        agent.tombstone(run(epoch));
        Ok(Comparison::new(
            Some(RunState::Tombstoned),
            agent.state(run(epoch)),
        ))
    }

    fn finish(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let epoch = action.argument(1)?;
        let agent = self.agent(action)?;
        let ended = agent.end(run(epoch), AgentEnd::Finished);
        Ok(Comparison::new(
            Ok::<(), agate_bind::run::RunTransitionError>(()),
            ended,
        ))
    }

    fn evict(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        let epoch = action.argument(1)?;
        let agent = self.agent(action)?;
        agent.stop(run(epoch), RunStep::Evict);
        let ended = agent.end(run(epoch), AgentEnd::Evicted);
        Ok(Comparison::new(
            Ok::<(), agate_bind::run::RunTransitionError>(()),
            ended,
        ))
    }

    fn grant(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        self.grant = action.argument(0)?;
        Ok(Comparison::none())
    }

    fn renew(&mut self, action: &Action) -> Result<Comparison, TraceError> {
        self.agents[0].renew(self.now, TICK * self.grant);
        self.grant = 0;
        self.lease = action.argument(0)?;
        Ok(self.compare_lease())
    }

    fn agent(&mut self, action: &Action) -> Result<&mut RunTable, TraceError> {
        let index = usize::from(action.flag(0)?);
        Ok(&mut self.agents[index])
    }
}

/// Returns the number of a state in the specification.
fn spec_state(state: RunState) -> u32 {
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
