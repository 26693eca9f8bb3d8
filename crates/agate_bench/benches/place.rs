//! Instructions of the decisions about batch work.

#![expect(
    missing_docs,
    reason = "the macros of gungraun write items without docs"
)]

use std::hint::black_box;

use agate_bench::cost::batch::{Placing, Queueing};
use agate_bench::cost::budget::Decisions;
use agate_place::JobSpec;
use gungraun::prelude::*;
use gungraun::{Callgrind, EventKind};

fn bounded(decisions: Decisions) -> LibraryBenchmarkConfig {
    let mut callgrind = Callgrind::default();
    callgrind.hard_limits([(EventKind::Ir, decisions.limit())]);
    LibraryBenchmarkConfig::default().tool(callgrind).clone()
}

#[library_benchmark(config = bounded(Decisions::PLACE))]
#[bench::workers_10(Placing::with_workers(10))]
#[bench::workers_1000(Placing::with_workers(1_000))]
#[bench::workers_21000(Placing::with_workers(21_000))]
fn place(mut placing: Placing) -> Placing {
    placing.place();
    black_box(placing)
}

#[library_benchmark(config = bounded(Decisions::END))]
#[bench::workers_10(Placing::with_workers(10))]
#[bench::workers_1000(Placing::with_workers(1_000))]
#[bench::workers_21000(Placing::with_workers(21_000))]
fn end(mut placing: Placing) -> Placing {
    placing.end();
    black_box(placing)
}

#[library_benchmark(config = bounded(Decisions::READ))]
#[bench::workers_1000(Placing::with_workers(1_000))]
fn read(mut placing: Placing) -> Placing {
    placing.read(black_box(7), 140);
    placing
}

#[library_benchmark(config = bounded(Decisions::STEPS))]
#[bench::workers_1000(Placing::with_workers(1_000))]
fn steps(mut placing: Placing) -> Placing {
    black_box(placing.steps());
    placing
}

#[library_benchmark(config = bounded(Decisions::QUEUE))]
#[bench::jobs_1000(Queueing::pushing(1_000))]
#[bench::jobs_100000(Queueing::pushing(100_000))]
fn push((mut queueing, spec): (Queueing, JobSpec)) -> (Queueing, JobSpec) {
    queueing.push(black_box(&spec));
    (queueing, spec)
}

#[library_benchmark(config = bounded(Decisions::QUEUE))]
#[bench::jobs_1000(Queueing::with_jobs(1_000))]
#[bench::jobs_100000(Queueing::with_jobs(100_000))]
fn take(mut queueing: Queueing) -> Queueing {
    black_box(queueing.take());
    queueing
}

#[library_benchmark(config = bounded(Decisions::QUEUE))]
#[bench::jobs_1000(Queueing::with_jobs(1_000))]
#[bench::jobs_100000(Queueing::with_jobs(100_000))]
fn cancel(mut queueing: Queueing) -> Queueing {
    queueing.cancel();
    black_box(queueing)
}

#[library_benchmark(config = bounded(Decisions::QUEUE))]
#[bench::jobs_1000(Queueing::with_jobs(1_000))]
#[bench::jobs_100000(Queueing::with_jobs(100_000))]
fn withdraw(mut queueing: Queueing) -> Queueing {
    queueing.withdraw();
    black_box(queueing)
}

#[library_benchmark(config = bounded(Decisions::QUEUE))]
#[bench::jobs_100000(Queueing::parked(100_000))]
fn resume(mut queueing: Queueing) -> Queueing {
    queueing.resume();
    black_box(queueing)
}

library_benchmark_group!(
    name = batch,
    benchmarks = [
        place, end, read, steps, push, take, cancel, withdraw, resume
    ]
);

main!(library_benchmark_groups = batch);
