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
use super::scenario::{ENTRIES, FAR, LENGTH, MEMBERS, NEAR, Plan, Scenario, WARMUP};
use super::tally::Tally;

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
struct World {
    scenario: Scenario,
    plan: Plan,
    preset: Preset,
    class: ClassName,
    caller: CallerName,
    events: EventQueue,
    entries: Vec<Entry>,
    members: Vec<Member>,
    calls: Vec<Call>,
    attempts: Vec<Attempt>,
    tally: Tally,
    now: Moment,
    /// Draws the workload, and nothing else, so that every plan gets the same one.
    workload: SmallRng,
    /// Draws everything else.
    noise: SmallRng,
}

/// Runs one scenario under one plan.
pub fn simulate(scenario: Scenario, plan: Plan) -> Tally {
    let mut world = World::new(scenario, plan);
    world.prepare();
    let end = Moment::ZERO + LENGTH;
    while let Some((at, event)) = world.events.pop() {
        if at > end {
            break;
        }
        world.now = at;
        world.handle(event);
    }
    world.tally
}

impl World {
    fn new(scenario: Scenario, plan: Plan) -> Self {
        let preset = Preset::default();
        let seed = scenario.seed;
        Self {
            scenario,
            plan,
            class: ClassName::new("seat-check").expect("the name is valid"),
            caller: CallerName::new("caller").expect("the name is valid"),
            events: EventQueue::default(),
            entries: (0..ENTRIES).map(|i| Entry::new(i, &preset, seed)).collect(),
            members: (0..MEMBERS).map(Member::new).collect(),
            calls: Vec::new(),
            attempts: Vec::new(),
            tally: Tally::new(),
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
        self.counts() && self.scenario.loses(zone)
    }

    /// Whether a member's agent lives but its backend server fails every request.
    fn fails(&self, member: usize) -> bool {
        self.counts() && self.scenario.fails(self.members[member].zone)
    }

    fn delay(&self, entry: usize, member: usize) -> Duration {
        if self.entries[entry].zone == self.members[member].zone {
            NEAR
        } else {
            FAR
        }
    }
}
