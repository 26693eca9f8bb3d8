//! Prints what the decisions achieve against baselines, and fails on a missed bound.

use std::process::ExitCode;

use agate_bench::report::Report;
use agate_bench::urgent;
use bpaf::{Parser, construct, long};

/// Seed of a run that names none.
const DEFAULT_SEED: u64 = 1;

#[derive(Debug, Clone, Copy)]
struct Options {
    seed: u64,
}

fn options() -> bpaf::OptionParser<Options> {
    let seed = long("seed")
        .help("Seed of the workloads; the same seed gives the same tables")
        .argument("N")
        .fallback(DEFAULT_SEED);
    construct!(Options { seed })
        .to_options()
        .descr("Measures the decisions against baselines on seeded workloads")
}

fn main() -> ExitCode {
    let options = options().run();
    let mut report = Report::default();
    urgent::run(options.seed, &mut report);
    print!("{report}");
    report.exit_code()
}
