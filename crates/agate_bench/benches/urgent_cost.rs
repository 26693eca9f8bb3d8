//! Instruction counts of the decisions about urgent requests.

#![expect(
    missing_docs,
    reason = "the macros of gungraun generate undocumented items"
)]

use std::hint::black_box;

use agate_bench::cost::budget::DecisionBudget;
use agate_bench::cost::urgent::{AdmissionFixture, RoutingFixture, second_heartbeat};
use agate_wire::message::Heartbeat;
use gungraun::prelude::*;
use gungraun::{Callgrind, EventKind};

fn with_instruction_limit(budget: DecisionBudget) -> LibraryBenchmarkConfig {
    let mut callgrind = Callgrind::default();
    callgrind.hard_limits([(EventKind::Ir, budget.limit())]);
    LibraryBenchmarkConfig::default().tool(callgrind).clone()
}

fn routing_and_heartbeat(members: u64) -> (RoutingFixture, Heartbeat) {
    (RoutingFixture::with_members(members), second_heartbeat())
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::CHOOSE))]
#[bench::members_10(RoutingFixture::with_members(10))]
#[bench::members_1000(RoutingFixture::with_members(1_000))]
fn choose(mut fixture: RoutingFixture) -> RoutingFixture {
    black_box(fixture.choose());
    fixture
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::HEARTBEAT))]
#[bench::members_10(routing_and_heartbeat(10))]
#[bench::members_1000(routing_and_heartbeat(1_000))]
fn hear((mut fixture, message): (RoutingFixture, Heartbeat)) -> (RoutingFixture, Heartbeat) {
    fixture.receive_heartbeat(black_box(&message));
    (fixture, message)
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::ADMIT))]
#[bench::busy(AdmissionFixture::busy())]
fn offer_and_finish(mut fixture: AdmissionFixture) -> AdmissionFixture {
    fixture.offer_and_finish();
    black_box(fixture)
}

library_benchmark_group!(name = urgent, benchmarks = [choose, hear, offer_and_finish]);

main!(library_benchmark_groups = urgent);
