//! Records that are read more than once, after an append without an answer.

use agate_core::{Incarnation, JobId, Moment, Resources};
use agate_place::{GivenUp, Placement, Policy, RunOutcome, Scheduler, Selector};
use agate_preset::TeamQuota;
use proptest::collection::vec;
use proptest::prelude::{Just, Strategy, any, prop_assert_eq, prop_oneof, proptest};
use proptest::sample::Index;
use rand::rngs::SmallRng;

use crate::support::{at, cases, class, job, join, rng, scheduler, tag, team};

/// Seconds between two records, so that some come within a hold and others after it.
const STEP_SECS: u64 = 97;

/// A record as the scheduler gets it. The numbers name jobs, workers, and kinds of them.
#[derive(Debug, Clone)]
enum Input {
    Preset(u32),
    Push(u64),
    Cancel(u64),
    Join(u64),
    Leaving(u64),
    Removed(u64),
    Withdraw(u64),
    Resume(u64),
    Ended(Index, RunOutcome),
}

fn input() -> impl Strategy<Value = Input> {
    let outcome = prop_oneof![
        1 => Just(RunOutcome::Finished),
        4 => Just(RunOutcome::Failed),
        1 => Just(RunOutcome::Lost),
    ];
    prop_oneof![
        1 => (0..4_u32).prop_map(Input::Preset),
        4 => (0..12_u64).prop_map(Input::Push),
        1 => (0..12_u64).prop_map(Input::Cancel),
        4 => (0..4_u64).prop_map(Input::Join),
        1 => (0..4_u64).prop_map(Input::Leaving),
        1 => (0..4_u64).prop_map(Input::Removed),
        1 => (0..4_u64).prop_map(Input::Withdraw),
        2 => (0..4_u64).prop_map(Input::Resume),
        4 => (any::<Index>(), outcome).prop_map(|(run, outcome)| Input::Ended(run, outcome)),
    ]
}

/// Returns a preset that differs in quotas and limits from the others.
fn policy(kind: u32) -> Policy {
    let quota = TeamQuota {
        guaranteed: Resources::new(kind * 4_000, kind * 16_384, 0),
        borrow: kind == 1,
    };
    let mut policy = Policy::default();
    if kind > 0 {
        policy.teams.insert(team("kehilla"), quota);
        policy.placement.ageing_ms = kind * 100_000;
    }
    policy
}

fn selector(number: u64) -> Selector {
    match number {
        0 => Selector::Class(class("rebalance")),
        1 => Selector::Class(class("export")),
        2 => Selector::Tag(tag("night")),
        _ => Selector::Tag(tag("bulk")),
    }
}

/// A scheduler and what it has placed.
struct Play {
    scheduler: Scheduler,
    rng: SmallRng,
    placed: Vec<Placement>,
}

impl Play {
    fn new() -> Self {
        Self {
            scheduler: scheduler(Policy::default(), 2),
            rng: rng(7),
            placed: Vec::new(),
        }
    }

    fn apply(&mut self, secs: u64, input: &Input) {
        let (s, now) = (&mut self.scheduler, at(secs));
        match input {
            Input::Preset(kind) => s.configure(now, policy(*kind)),
            Input::Push(id) => {
                let mut spec = job(*id, 1 + *id as u32);
                if id % 3 == 0 {
                    spec.class = class("export");
                    spec.declared = Resources::new(9_000, 1_024, 0);
                    spec.tags = vec![tag("night")];
                }
                if id % 2 == 0 {
                    spec.team = team("kattegatt");
                }
                s.push(now, &spec);
            }
            Input::Cancel(id) => drop(s.cancel(JobId(*id))),
            Input::Join(id) => join(s, *id, Resources::new(16_000, 61_440, 0)),
            Input::Leaving(id) => s.mark_leaving(Incarnation::new(*id)),
            Input::Removed(id) => drop(s.remove(now, Incarnation::new(*id))),
            Input::Withdraw(number) => s.withdraw(&selector(*number)),
            Input::Resume(number) => s.resume(&selector(*number)),
            Input::Ended(run, outcome) if !self.placed.is_empty() => {
                let task = run.get(&self.placed).task;
                s.ended(now, task, *outcome, Resources::ZERO);
            }
            Input::Ended(..) => {}
        }
    }

    /// Places what can be placed, and returns it with what is given up and the time of the next call.
    fn place(&mut self, secs: u64) -> (Vec<Placement>, Vec<GivenUp>, Option<Moment>) {
        let mut placed = Vec::new();
        for now in (secs..secs + STEP_SECS).step_by(16).map(at) {
            placed.extend(std::iter::from_fn(|| {
                self.scheduler.next(now, &mut self.rng)
            }));
        }
        self.placed.extend(placed.iter().copied());
        let given_up = self.scheduler.take_given_up();
        (
            placed,
            given_up,
            self.scheduler.next_wake(at(secs + STEP_SECS)),
        )
    }
}

proptest! {
    #![proptest_config(cases(200))]

    /// An entry that applied a preset, a job, a worker or an end twice would place other tasks than the others.
    #[test]
    fn placements_agree_however_often_each_record_is_read(
        inputs in vec((input(), 1..4_usize), 1..120),
    ) {
        let (mut once, mut often) = (Play::new(), Play::new());
        for (secs, (input, times)) in (0..).step_by(STEP_SECS as usize).zip(&inputs) {
            once.apply(secs, input);
            for _ in 0..*times {
                often.apply(secs, input);
            }
            prop_assert_eq!(often.place(secs), once.place(secs), "{:?} at {} s", input, secs);
        }
    }
}
