//! Plays the load of workers that serving and best-effort tasks share.

use std::time::Duration;

use agate_bench::shared::{Knowledge, Load, Scenario, simulate};
use agate_jobs::BatchOrder;

fn scenario(workers: u32, knowledge: Knowledge) -> Scenario {
    Scenario {
        workers,
        duration: Duration::from_secs(20),
        knowledge,
        load: Load::Standard,
        order: BatchOrder::Urgency,
        seed: 1,
    }
}

/// Callers got a third of their jobs late. `scripts/bench` checks the same at 160 workers, and the
/// share of runs given back.
#[test]
fn callers_get_their_jobs_in_time() {
    /// Share of best-effort jobs that callers get within the objective.
    const MIN_IN_TIME: f64 = 0.75;
    let in_time = simulate(scenario(40, Knowledge::Reported)).in_time_share();
    assert!(in_time >= MIN_IN_TIME, "{in_time:.3} of jobs in time");
}

/// The model has to show the cost of not knowing the interference, or it could judge nothing.
#[test]
fn serving_tasks_and_callers_lose_without_knowledge_of_interference() {
    let known = simulate(scenario(24, Knowledge::Reported));
    let blind = simulate(scenario(24, Knowledge::None));
    assert!(blind.given_back_share() > 2.0 * known.given_back_share());
    assert!(blind.over_target_share() > known.over_target_share());
    assert!(blind.in_time_share() < known.in_time_share());
}

#[test]
fn the_same_seed_gives_the_same_result() {
    let runs = [1, 2].map(|_| simulate(scenario(24, Knowledge::Reported)));
    assert_eq!(runs[0].given_back, runs[1].given_back);
    assert_eq!(runs[0].over_target, runs[1].over_target);
}
