//! Instruction counts of the decisions about batch work.

#![expect(
    missing_docs,
    reason = "the macros of gungraun generate undocumented items"
)]

use std::hint::black_box;

use agate_bench::cost::batch::{QueueFixture, SchedulerFixture};
use agate_bench::cost::budget::DecisionBudget;
use agate_place::JobSpec;
use gungraun::prelude::*;
use gungraun::{Callgrind, EventKind};

fn with_instruction_limit(budget: DecisionBudget) -> LibraryBenchmarkConfig {
    let mut callgrind = Callgrind::default();
    callgrind.hard_limits([(EventKind::Ir, budget.limit())]);
    LibraryBenchmarkConfig::default().tool(callgrind).clone()
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::PLACE))]
#[bench::workers_10(SchedulerFixture::with_workers(10))]
#[bench::workers_1000(SchedulerFixture::with_workers(1_000))]
#[bench::workers_21000(SchedulerFixture::with_workers(21_000))]
fn place(mut fixture: SchedulerFixture) -> SchedulerFixture {
    fixture.place();
    black_box(fixture)
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::END))]
#[bench::workers_10(SchedulerFixture::with_workers(10))]
#[bench::workers_1000(SchedulerFixture::with_workers(1_000))]
#[bench::workers_21000(SchedulerFixture::with_workers(21_000))]
fn end(mut fixture: SchedulerFixture) -> SchedulerFixture {
    fixture.end();
    black_box(fixture)
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::OBSERVE))]
#[bench::workers_1000(SchedulerFixture::with_workers(1_000))]
fn read(mut fixture: SchedulerFixture) -> SchedulerFixture {
    fixture.observe_sample(black_box(7), 140);
    fixture
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::STEPS))]
#[bench::workers_1000(SchedulerFixture::with_workers(1_000))]
fn steps(mut fixture: SchedulerFixture) -> SchedulerFixture {
    black_box(fixture.steps());
    fixture
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::QUEUE))]
#[bench::jobs_1000(QueueFixture::with_next_job(1_000))]
#[bench::jobs_100000(QueueFixture::with_next_job(100_000))]
fn push((mut fixture, spec): (QueueFixture, JobSpec)) -> (QueueFixture, JobSpec) {
    fixture.push(black_box(&spec));
    (fixture, spec)
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::QUEUE))]
#[bench::jobs_1000(QueueFixture::with_jobs(1_000))]
#[bench::jobs_100000(QueueFixture::with_jobs(100_000))]
fn take(mut fixture: QueueFixture) -> QueueFixture {
    black_box(fixture.take());
    fixture
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::QUEUE))]
#[bench::jobs_1000(QueueFixture::with_jobs(1_000))]
#[bench::jobs_100000(QueueFixture::with_jobs(100_000))]
fn cancel(mut fixture: QueueFixture) -> QueueFixture {
    fixture.cancel();
    black_box(fixture)
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::QUEUE))]
#[bench::jobs_1000(QueueFixture::with_jobs(1_000))]
#[bench::jobs_100000(QueueFixture::with_jobs(100_000))]
fn withdraw(mut fixture: QueueFixture) -> QueueFixture {
    fixture.withdraw();
    black_box(fixture)
}

#[library_benchmark(config = with_instruction_limit(DecisionBudget::QUEUE))]
#[bench::jobs_100000(QueueFixture::with_parked_jobs(100_000))]
fn resume(mut fixture: QueueFixture) -> QueueFixture {
    fixture.resume();
    black_box(fixture)
}

library_benchmark_group!(
    name = batch,
    benchmarks = [
        place, end, read, steps, push, take, cancel, withdraw, resume
    ]
);

main!(library_benchmark_groups = batch);
