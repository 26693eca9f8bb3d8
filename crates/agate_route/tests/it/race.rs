//! Several entries that compete for the slots of one agent.

use std::collections::BTreeMap;

use agate_core::ClassName;
use agate_preset::policy::Admission;
use agate_route::admission::{
    AdmissionControl, AdmissionDecision, AttemptKey, AttemptOutcome, CancelOutcome, Limits,
};
use proptest::prelude::*;

use super::support::{clocks, offer_class, rng};

/// Slots of the agent.
const SLOTS: u32 = 4;

/// Share of the slots that the limited class may hold.
const SHARE_PERCENT: u32 = 50;

/// The next event at the agent.
#[derive(Debug, Clone, Copy)]
enum Step {
    /// An entry sends a request, whether or not the agent has a free slot.
    Send {
        entry: u8,
        limited: bool,
        budget: u64,
    },
    /// A request ends at the backend server.
    End { index: usize, end: AttemptOutcome },
    /// An entry cancels a request.
    Cancel { index: usize },
    /// The agent checks its queue.
    Tick,
    /// Time passes.
    Elapse(u64),
}

fn step() -> impl Strategy<Value = Step> {
    let ends = prop_oneof![
        Just(AttemptOutcome::Answered),
        Just(AttemptOutcome::Failed),
        Just(AttemptOutcome::NotStarted)
    ];
    prop_oneof![
        6 => (0_u8..4, any::<bool>(), 1_u64..400)
            .prop_map(|(entry, limited, budget)| Step::Send { entry, limited, budget }),
        3 => (any::<usize>(), ends).prop_map(|(index, end)| Step::End { index, end }),
        1 => any::<usize>().prop_map(|index| Step::Cancel { index }),
        1 => Just(Step::Tick),
        2 => (1_u64..60).prop_map(Step::Elapse),
    ]
}

/// Requests known to the test, with whether their class is limited and which entry sent them.
type Running = BTreeMap<AttemptKey, (bool, u8)>;

fn check(running: &Running, limit: u32) -> Result<(), TestCaseError> {
    prop_assert!(running.len() <= limit as usize, "over-committed");
    let limited = running.values().filter(|(limited, _)| *limited).count();
    let share = (limit * SHARE_PERCENT / 100).max(1);
    prop_assert!(limited <= share as usize, "over the share of the class");
    Ok(())
}

proptest! {
    #[test]
    fn concurrent_entries_never_overcommit_an_agent(
        steps in proptest::collection::vec(step(), 1..300),
        connections in 1_u32..8,
    ) {
        let limits = Limits { slots: SLOTS, connections };
        let mut control = AdmissionControl::new(limits, Admission::default());
        let mut running = Running::new();
        let mut waiting = Running::new();
        let mut now = 0;
        for step in steps {
            let update = match step {
                Step::Send { entry, limited, budget } => {
                    let name = if limited { "quote" } else { "seat-check" };
                    let share = if limited { SHARE_PERCENT } else { 100 };
                    let class = ClassName::new(name).expect("the name is valid");
                    match offer_class(&mut control, &class, share, budget, now) {
                        AdmissionDecision::Start(key) => {
                            running.insert(key, (limited, entry));
                        }
                        AdmissionDecision::Queue(key) => {
                            waiting.insert(key, (limited, entry));
                        }
                        AdmissionDecision::Refuse(_) => {}
                    }
                    continue;
                }
                Step::End { index, end } => {
                    let Some(key) = running.keys().nth(index % SLOTS as usize).copied() else {
                        continue;
                    };
                    running.remove(&key);
                    control.finish(key, end, clocks(now), &mut rng())
                }
                Step::Cancel { index } => {
                    let Some(key) = waiting.keys().nth(index % SLOTS as usize).copied() else {
                        continue;
                    };
                    prop_assert_eq!(control.cancel(key), CancelOutcome::Removed);
                    waiting.remove(&key);
                    continue;
                }
                Step::Tick => control.tick(clocks(now), &mut rng()),
                Step::Elapse(time) => {
                    now += time;
                    continue;
                }
            };
            for key in update.start {
                let sent = waiting.remove(&key).expect("a started attempt waited");
                running.insert(key, sent);
            }
            for dropped in update.dropped {
                prop_assert!(waiting.remove(&dropped.key).is_some());
            }
            check(&running, SLOTS.min(connections))?;
            prop_assert_eq!(control.load().queued as usize, waiting.len());
        }
        check(&running, SLOTS.min(connections))?;
    }
}
