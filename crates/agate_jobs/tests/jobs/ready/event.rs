//! Random series of jobs, ends, reports and decisions.

use agate_core::Resources;
use agate_jobs::{AgentState, EndCause, Repeat, StepSpec, WorkerState};
use proptest::collection::vec;
use proptest::option;
use proptest::prelude::*;
use proptest::sample::select;

pub(crate) const ZONES: [&str; 2] = ["north", "south"];

/// What changes in the report on a worker.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Change {
    State(WorkerState),
    Agent(AgentState),
    Unreachable(bool),
    Capacity(u32),
}

/// A decision of a leader.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Decision {
    Place,
    /// The reaction to a report that a worker has restarted or left, or that its lease has lapsed.
    Report(usize, WorkerState),
    /// The suspicions raised and settled after some silence, in milliseconds.
    Suspect(u64),
}

/// Something that happens. Indices are taken modulo the number of items.
#[derive(Debug, Clone)]
pub(crate) enum Event {
    Submit {
        steps: Vec<StepSpec>,
        priority: u32,
        repeat: Option<Repeat>,
    },
    /// A round that places up to so many tasks.
    Place(usize),
    /// The end of a run that is ordered.
    End {
        run: usize,
        cause: EndCause,
        ran_ms: u64,
        crash: bool,
    },
    /// The end of any run that was ever ordered.
    LateEnd {
        run: usize,
        cause: EndCause,
        ran_ms: u64,
    },
    Report {
        machine: usize,
        change: Change,
    },
    /// An earlier report that is recorded late.
    LateReport {
        machine: usize,
        report: usize,
    },
    /// The worker crashes under its runs, which ran for so long, and starts again.
    Crash {
        machine: usize,
        ran_ms: u64,
        renamed: bool,
    },
    /// The worker starts again, under the same or another name.
    Restart {
        machine: usize,
        renamed: bool,
    },
    /// Time passes, in which the agents of some machines are silent.
    Pass {
        ms: u64,
        silent: u8,
    },
    Cancel(usize),
    TakeOver,
    /// The leader is lost after a part of the effects of a decision has been recorded.
    LoseLeader {
        decision: Decision,
        recorded: u64,
    },
    /// A takeover during which the end of a run is recorded.
    TakeOverDuringEnd {
        step: usize,
        run: usize,
        cause: EndCause,
    },
    Withdraw {
        zone: usize,
        withdrawn: bool,
    },
}

/// Kind of the tasks of a step.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Short,
    BestEffort,
    LongRunning,
    Serving,
    Gang,
    LongGang,
}

fn steps() -> impl Strategy<Value = Vec<StepSpec>> {
    let kinds = [
        Kind::Short,
        Kind::Short,
        Kind::BestEffort,
        Kind::BestEffort,
        Kind::LongRunning,
        Kind::Serving,
        Kind::Gang,
        Kind::LongGang,
    ];
    let demand = (
        select(vec![250, 500, 1_000, 1_000, 2_000, 3_500]),
        select(vec![10, 100, 300]),
    );
    let limits = (
        any::<bool>(),
        select(vec!["", "", "", "a"]),
        select(vec![0, 0, 1, 2]),
    );
    let step = (
        select(kinds.to_vec()),
        1_u32..5,
        demand,
        limits,
        select(vec!["", "x", "y"]),
    );
    let step = step.prop_map(|(kind, tasks, demand, limits, image)| {
        let (one_rack, label, per_worker) = limits;
        let step = StepSpec {
            tasks,
            demand: Resources::new(demand.0, demand.1, 0),
            estimate_ms: 1_000,
            one_rack,
            label: label.to_owned(),
            per_worker,
            image: image.to_owned(),
            ..StepSpec::default()
        };
        of_kind(kind, step)
    });
    vec(step, 1..3).prop_map(|mut steps| {
        for (earlier, step) in (0..).zip(steps.iter_mut().skip(1)) {
            step.after = vec![earlier];
        }
        steps
    })
}

fn of_kind(kind: Kind, step: StepSpec) -> StepSpec {
    match kind {
        Kind::Short => step,
        Kind::BestEffort => StepSpec {
            best_effort: true,
            ..step
        },
        Kind::LongRunning => StepSpec {
            long_running: true,
            ..step
        },
        Kind::Serving => StepSpec {
            long_running: true,
            target_ms: 20,
            max_unavailable: 1,
            ..step
        },
        Kind::Gang => StepSpec { gang: true, ..step },
        Kind::LongGang => StepSpec {
            gang: true,
            long_running: true,
            ..step
        },
    }
}

fn submit() -> impl Strategy<Value = Event> {
    let repeat = (1_000_u64..8_000, 500_u64..4_000, 1_u32..4);
    let repeat = repeat.prop_map(|(first_ms, every_ms, times)| Repeat {
        first_ms,
        every_ms,
        times,
    });
    let repeat = option::weighted(0.15, repeat);
    (steps(), 0_u32..2, repeat).prop_map(|(steps, priority, repeat)| Event::Submit {
        steps,
        priority,
        repeat,
    })
}

fn cause() -> impl Strategy<Value = EndCause> {
    select(vec![
        EndCause::Done,
        EndCause::Done,
        EndCause::Failed,
        EndCause::Failed,
        EndCause::Stopped,
        EndCause::Stalled,
        EndCause::Stalled,
        EndCause::Lapsed,
        EndCause::Broken,
        EndCause::Alone,
        EndCause::NoRoom,
        EndCause::Refused,
        EndCause::Lost,
        EndCause::Untraced,
    ])
}

fn change() -> impl Strategy<Value = Change> {
    select(vec![
        Change::State(WorkerState::Ready),
        Change::State(WorkerState::Draining),
        Change::State(WorkerState::Gone),
        Change::State(WorkerState::Lapsed),
        Change::Agent(AgentState::Serving),
        Change::Agent(AgentState::Stopping),
        Change::Agent(AgentState::Stopped),
        Change::Unreachable(true),
        Change::Unreachable(false),
        Change::Capacity(2_000),
        Change::Capacity(4_000),
        Change::Capacity(8_000),
    ])
}

fn index() -> impl Strategy<Value = usize> {
    0_usize..64
}

fn ran_ms() -> impl Strategy<Value = u64> {
    select(vec![0, 20, 90, 800, 2_500, 2_500, 4_000])
}

/// Generates something that happens.
pub(crate) fn event() -> impl Strategy<Value = Event> {
    let end = (index(), cause(), ran_ms(), prop::bool::weighted(0.25));
    let end = end.prop_map(|(run, cause, ran_ms, crash)| Event::End {
        run,
        cause,
        ran_ms,
        crash,
    });
    let late = (index(), cause(), ran_ms());
    let late = late.prop_map(|(run, cause, ran_ms)| Event::LateEnd { run, cause, ran_ms });
    let reported =
        (index(), change()).prop_map(|(machine, change)| Event::Report { machine, change });
    let late_report =
        (index(), index()).prop_map(|(machine, report)| Event::LateReport { machine, report });
    let restart =
        (index(), any::<bool>()).prop_map(|(machine, renamed)| Event::Restart { machine, renamed });
    let crash =
        (index(), ran_ms(), any::<bool>()).prop_map(|(machine, ran_ms, renamed)| Event::Crash {
            machine,
            ran_ms,
            renamed,
        });
    let pass = (
        select(vec![100, 100, 400, 2_000, 3_000, 8_000]),
        any::<u8>(),
    )
        .prop_map(|(ms, silent)| Event::Pass { ms, silent });
    let restored = (0_usize..40, index(), cause())
        .prop_map(|(step, run, cause)| Event::TakeOverDuringEnd { step, run, cause });
    let states = [
        WorkerState::Lapsed,
        WorkerState::Gone,
        WorkerState::Draining,
    ];
    let decision = prop_oneof![
        Just(Decision::Place),
        (index(), select(states.to_vec())).prop_map(|(at, state)| Decision::Report(at, state)),
        select(vec![2_000, 8_000]).prop_map(Decision::Suspect),
    ];
    let lost_leader = (decision, any::<u64>())
        .prop_map(|(decision, recorded)| Event::LoseLeader { decision, recorded });
    let zone = (0_usize..2, any::<bool>())
        .prop_map(|(zone, withdrawn)| Event::Withdraw { zone, withdrawn });
    prop_oneof![
        6 => submit(),
        5 => select(vec![1, 2, 5, 1_000]).prop_map(Event::Place),
        8 => end,
        2 => late,
        2 => reported,
        1 => late_report,
        1 => restart,
        2 => crash,
        3 => pass,
        1 => index().prop_map(Event::Cancel),
        1 => Just(Event::TakeOver),
        2 => lost_leader,
        1 => restored,
        1 => zone,
    ]
}
