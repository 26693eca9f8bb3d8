//! Placements never exceed a worker's capacity, however runs come and go.

use std::collections::BTreeMap;

use agate_core::{Incarnation, Resources, TaskId};
use agate_place::{Placement, Policy, RunOutcome};
use proptest::prelude::*;
use rand::Rng;

use crate::support::{at, cases, job, join, rng, scheduler};

/// A model of an agent, which refuses runs that don't fit.
#[derive(Default)]
struct Agent {
    capacity: Resources,
    held: BTreeMap<(usize, TaskId), Resources>,
}

impl Agent {
    fn held(&self) -> Resources {
        self.held.values().fold(Resources::ZERO, |sum, r| sum + *r)
    }

    fn start(&mut self, entry: usize, placement: &Placement) -> bool {
        let fits = (self.held() + placement.demand).fits_in(self.capacity);
        if fits {
            self.held.insert((entry, placement.task), placement.demand);
        }
        fits
    }
}

proptest! {
    #![proptest_config(cases(64))]

    /// Two entries place on the same workers without knowing of each other. The agents refuse runs
    /// that don't fit, and the placements of one entry never exceed a worker's limit.
    #[test]
    fn allocations_never_exceed_capacity(seed in 0..u64::MAX) {
        let mut rng = rng(seed);
        let mut agents: Vec<Agent> = Vec::new();
        let mut entries = [scheduler(Policy::default(), 0), scheduler(Policy::default(), 0)];
        for id in 0..6_u64 {
            let accelerators = u32::from(id == 0) * 2;
            let capacity = Resources::new(
                rng.random_range(4_000..64_000),
                rng.random_range(8_000..250_000),
                accelerators,
            );
            agents.push(Agent { capacity, ..Agent::default() });
            for entry in &mut entries {
                join(entry, id, capacity);
            }
        }
        for (e, entry) in entries.iter_mut().enumerate() {
            for id in 0..20 {
                let mut spec = job(e as u64 * 100 + id, 20);
                spec.declared = Resources::new(
                    rng.random_range(100..6_000),
                    rng.random_range(100..16_000),
                    u32::from(rng.random_range(0..10) == 0),
                );
                entry.push(at(0), &spec);
            }
        }
        let mut started = 0;
        for step in 1..400 {
            let e = rng.random_range(0..2);
            let entry = &mut entries[e];
            if let Some(placement) = entry.next(at(step), &mut rng) {
                let key = entry.workers().key(placement.worker).unwrap();
                let worker = entry.workers().get(key).unwrap();
                prop_assert!(worker.held.fits_in(worker.limit));
                let agent = &mut agents[usize::try_from(placement.worker.get()).unwrap()];
                if agent.start(e, &placement) {
                    entry.started(at(step), placement.task);
                    started += 1;
                } else {
                    entry.refused(at(step), placement.task, Some(agent.held()));
                }
            }
            for (id, agent) in agents.iter_mut().enumerate() {
                prop_assert!(agent.held().fits_in(agent.capacity));
                let Some((&(owner, task), &given)) = agent.held.first_key_value() else {
                    continue;
                };
                if rng.random_range(0..20) == 0 {
                    agent.held.remove(&(owner, task));
                    entries[owner].ended(at(step), task, RunOutcome::Finished, given);
                }
                let held = agent.held();
                let incarnation = Incarnation::new(id as u64);
                entries[rng.random_range(0..2)].report_held(incarnation, held);
            }
        }
        prop_assert!(started > 0);
    }
}
