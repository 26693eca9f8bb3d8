//! Compares the scheduling decisions with baselines, checks their instruction counts, and fails if
//! a bound is missed.

use std::path::PathBuf;
use std::process::ExitCode;

use agate_bench::batch;
use agate_bench::cost::{self, InstructionCounts};
use agate_bench::report::Report;
use agate_bench::{shared, urgent};
use bpaf::{Parser, construct, long};

/// Seed used without `--seed`.
const DEFAULT_SEED: u64 = 1;

#[derive(Debug, Clone)]
struct Options {
    seed: u64,
    costs: Option<PathBuf>,
}

fn options() -> bpaf::OptionParser<Options> {
    let seed = long("seed")
        .help("Seed of the workloads; the same seed gives the same tables")
        .argument("N")
        .fallback(DEFAULT_SEED);
    let costs = long("costs")
        .help("Folder in which gungraun has saved its summaries; without it no costs are checked")
        .argument("FOLDER")
        .optional();
    construct!(Options { seed, costs })
        .to_options()
        .descr("Measures the decisions against baselines on seeded workloads")
}

fn main() -> ExitCode {
    let options = options().run();
    let mut report = Report::default();
    urgent::run(options.seed, &mut report);
    batch::run(options.seed, &mut report);
    shared::run(options.seed, &mut report);
    shared::run_backlog(options.seed, &mut report);
    if let Some(folder) = options.costs {
        match InstructionCounts::read_from(&folder) {
            Ok(counts) => check_costs(&counts, &mut report),
            Err(error) => {
                eprintln!("agate_bench: {error}");
                return ExitCode::FAILURE;
            }
        }
    }
    print!("{report}");
    report.exit_code()
}

fn check_costs(counts: &InstructionCounts, report: &mut Report) {
    use cost::{batch as b, urgent as u};

    let title = "cost of urgent requests";
    cost::check(title, counts, &u::COSTS, &u::GROWTH, report);
    let title = "cost of batch work";
    cost::check(title, counts, &b::COSTS, &b::GROWTH, report);
}
