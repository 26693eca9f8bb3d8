//! Instructions of the decisions about urgent requests.

#![expect(
    missing_docs,
    reason = "the macros of gungraun write items without docs"
)]

use std::hint::black_box;

use agate_bench::cost::budget::Decisions;
use agate_bench::cost::urgent::{Agent, Routing, second_heartbeat};
use agate_wire::message::Heartbeat;
use gungraun::prelude::*;
use gungraun::{Callgrind, EventKind};

fn bounded(decisions: Decisions) -> LibraryBenchmarkConfig {
    let mut callgrind = Callgrind::default();
    callgrind.hard_limits([(EventKind::Ir, decisions.limit())]);
    LibraryBenchmarkConfig::default().tool(callgrind).clone()
}

fn hearing(members: u64) -> (Routing, Heartbeat) {
    (Routing::with_members(members), second_heartbeat())
}

#[library_benchmark(config = bounded(Decisions::CHOOSE))]
#[bench::members_10(Routing::with_members(10))]
#[bench::members_1000(Routing::with_members(1_000))]
fn choose(mut routing: Routing) -> Routing {
    black_box(routing.choose());
    routing
}

#[library_benchmark(config = bounded(Decisions::HEARTBEAT))]
#[bench::members_10(hearing(10))]
#[bench::members_1000(hearing(1_000))]
fn hear((mut routing, beat): (Routing, Heartbeat)) -> (Routing, Heartbeat) {
    routing.hear(black_box(&beat));
    (routing, beat)
}

#[library_benchmark(config = bounded(Decisions::ADMIT))]
#[bench::busy(Agent::busy())]
fn offer_and_finish(mut agent: Agent) -> Agent {
    agent.offer_and_finish();
    black_box(agent)
}

library_benchmark_group!(name = urgent, benchmarks = [choose, hear, offer_and_finish]);

main!(library_benchmark_groups = urgent);
