//! Event loop of the simulation.

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
    /// Service time at a member without a fault.
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
    /// Random numbers of the workload only, so that every strategy gets the same workload.
    workload_rng: SmallRng,
    /// Random numbers of everything else.
    other_rng: SmallRng,
}

/// Simulates a scenario with one strategy and returns its counts.
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
            workload_rng: SmallRng::seed_from_u64(seed),
            other_rng: SmallRng::seed_from_u64(!seed),
            preset,
        }
    }

    fn prepare(&mut self) {
        for index in 0..MEMBERS {
            let info = self.members[index].info();
            for entry in &mut self.entries {
                entry.view.announce(info.clone(), Moment::ZERO);
            }
            self.events
                .push(self.now, Event::SendHeartbeats { member: index });
            self.events
                .push(self.now, Event::AdmissionTick { member: index });
        }
        for entry in 0..ENTRIES {
            self.events.push(self.now, Event::SweepView { entry });
        }
        self.events.push(self.now, Event::RequestArrived);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestArrived => self.receive_request(),
            Event::SendAttempt { request } => self.send_attempt(request),
            Event::DeadlineReached { request } => self.handle_deadline(request),
            Event::AttemptArrived { attempt } => self.receive_attempt(attempt),
            Event::ServiceEnded { member, key } => self.end_service(member, key),
            Event::ResultArrived {
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
                self.receive_result(attempt, result);
            }
            Event::AdmissionTick { member } => self.tick_admission(member),
            Event::SendHeartbeats { member } => self.send_heartbeats(member),
            Event::HeartbeatArrived { entry, message } => {
                self.entries[entry]
                    .view
                    .record_heartbeat(&message, self.now);
            }
            Event::SweepView { entry } => self.sweep(entry),
            Event::PongArrived { entry, key } => self.entries[entry].view.record_receive(key),
        }
    }

    fn is_warmed_up(&self) -> bool {
        self.now >= Moment::ZERO + WARMUP
    }

    fn is_lost(&self, zone: usize) -> bool {
        self.is_warmed_up() && self.scenario.zone_lost(zone)
    }

    /// Returns whether the backend server of a member fails every request while its agent keeps
    /// running.
    fn is_failing(&self, member: usize) -> bool {
        self.is_warmed_up() && self.scenario.zone_fails(self.members[member].zone)
    }

    fn one_way_delay(&self, entry: usize, member: usize) -> Duration {
        if self.entries[entry].zone == self.members[member].zone {
            SAME_ZONE_DELAY
        } else {
            CROSS_ZONE_DELAY
        }
    }
}
