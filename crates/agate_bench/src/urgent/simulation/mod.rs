//! The event loop.

mod attempts;
mod calls;
mod membership;
mod service;

use std::time::Duration;

use agate_core::{CallerName, ClassName, Moment};
use agate_members::MemberKey;
use agate_preset::Preset;
use rand::SeedableRng;
use rand::rngs::SmallRng;

use super::entry::Entry;
use super::event::{Event, EventQueue};
use super::member::Member;
use super::scenario::{
    CROSS_ZONE_DELAY, DURATION, ENTRIES, MEMBERS, SAME_ZONE_DELAY, Scenario, Strategy, WARMUP,
};
use super::stats::Stats;

#[derive(Debug)]
struct Call {
    entry: usize,
    arrived: Moment,
    /// Service time at a member that is not slow.
    service: Duration,
    attempts: u32,
    tried: Vec<MemberKey>,
    open: bool,
}

#[derive(Debug, Clone, Copy)]
struct Attempt {
    call: usize,
    member: usize,
    key: MemberKey,
    sent: Moment,
}

#[derive(Debug)]
struct Simulation {
    scenario: Scenario,
    strategy: Strategy,
    preset: Preset,
    class: ClassName,
    caller: CallerName,
    events: EventQueue,
    entries: Vec<Entry>,
    members: Vec<Member>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    stats: Stats,
    now: Moment,
    /// Draws the workload, and nothing else, so that every plan gets the same one.
    workload: SmallRng,
    /// Draws everything else.
    noise: SmallRng,
}

/// Runs one scenario under one plan.
pub fn simulate(scenario: Scenario, strategy: Strategy) -> Stats {
    let mut simulation = Simulation::new(scenario, strategy);
    simulation.prepare();
    let end = Moment::ZERO + DURATION;
    while let Some((at, event)) = simulation.events.pop() {
        if at > end {
            break;
        }
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.stats
}

impl Simulation {
    fn new(scenario: Scenario, strategy: Strategy) -> Self {
        let preset = Preset::default();
        let seed = scenario.seed;
        Self {
            scenario,
            strategy,
            class: ClassName::new("seat-check").expect("the name is valid"),
            caller: CallerName::new("caller").expect("the name is valid"),
            events: EventQueue::default(),
            entries: (0..ENTRIES).map(|i| Entry::new(i, &preset, seed)).collect(),
            members: (0..MEMBERS).map(Member::new).collect(),
            calls: Vec::new(),
            attempts: Vec::new(),
            stats: Stats::new(),
            now: Moment::ZERO,
            workload: SmallRng::seed_from_u64(seed),
            noise: SmallRng::seed_from_u64(!seed),
            preset,
        }
    }

    fn prepare(&mut self) {
        for index in 0..MEMBERS {
            let info = self.members[index].info();
            for entry in &mut self.entries {
                entry.view.announce(info.clone(), Moment::ZERO);
            }
            self.events.push(self.now, Event::Beat { member: index });
            self.events.push(self.now, Event::Tick { member: index });
        }
        for entry in 0..ENTRIES {
            self.events.push(self.now, Event::Sweep { entry });
        }
        self.events.push(self.now, Event::Arrive);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive => self.arrive(),
            Event::Send { request } => self.send(request),
            Event::GiveUp { request } => self.give_up(request),
            Event::Reach { attempt } => self.reach(attempt),
            Event::Served { member, key } => self.served(member, key),
            Event::Result {
                attempt,
                result,
                load,
            } => {
                if let Some(load) = load {
                    let Attempt { call, key, .. } = self.attempts[attempt];
                    let view = &mut self.entries[self.calls[call].entry].view;
                    view.update_load(key, load, self.now);
                    view.record_receive(key);
                }
                self.result(attempt, result);
            }
            Event::Tick { member } => self.tick(member),
            Event::Beat { member } => self.beat(member),
            Event::Heard { entry, beat } => {
                self.entries[entry].view.record_heartbeat(&beat, self.now);
            }
            Event::Sweep { entry } => self.sweep(entry),
            Event::Pong { entry, key } => self.entries[entry].view.record_receive(key),
        }
    }

    fn counts(&self) -> bool {
        self.now >= Moment::ZERO + WARMUP
    }

    fn is_lost(&self, zone: usize) -> bool {
        self.counts() && self.scenario.zone_lost(zone)
    }

    /// Whether a member's agent lives but its backend server fails every request.
    fn fails(&self, member: usize) -> bool {
        self.counts() && self.scenario.zone_fails(self.members[member].zone)
    }

    fn delay(&self, entry: usize, member: usize) -> Duration {
        if self.entries[entry].zone == self.members[member].zone {
            SAME_ZONE_DELAY
        } else {
            CROSS_ZONE_DELAY
        }
    }
}
