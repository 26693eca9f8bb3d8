//! Measures the latency of urgent requests, sent directly and through the product, on a site with
//! ten backend servers and ten workers.

use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use agate_frame::load::{LoadPlan, run};
use agate_frame::site::Layout;
use bpaf::{Parser, construct};

#[derive(Debug, Clone)]
struct Options {
    site: Layout,
    rate: u32,
    seconds: u64,
    seed: u64,
    logs: PathBuf,
}

fn options() -> Options {
    let site = bpaf::long("site")
        .help("Site to lay out: kehilla or kattegatt")
        .argument::<String>("SITE")
        .fallback("kehilla".to_owned())
        .parse(|name| match name.as_str() {
            "kehilla" => Ok(Layout::kehilla()),
            "kattegatt" => Ok(Layout::kattegatt()),
            _ => Err("the site is kehilla or kattegatt"),
        });
    let rate = bpaf::long("rate")
        .help("Requests a second")
        .argument("R")
        .fallback(400);
    let seconds = bpaf::long("seconds")
        .help("Length of each of the two parts")
        .argument("S")
        .fallback(20);
    let seed = bpaf::long("seed")
        .help("Seed of the arrivals")
        .argument("SEED")
        .fallback(1);
    let logs = bpaf::long("logs")
        .help("Folder for the logs of the processes")
        .argument("DIR")
        .fallback(PathBuf::from("target/load"));
    construct!(Options {
        site,
        rate,
        seconds,
        seed,
        logs
    })
    .to_options()
    .descr("Load on loopback.")
    .run()
}

#[tokio::main]
async fn main() -> ExitCode {
    let options = options();
    let plan = LoadPlan::builder()
        .layout(options.site)
        .rate(f64::from(options.rate))
        .duration(Duration::from_secs(options.seconds))
        .seed(options.seed)
        .build();
    match run(&plan, &options.logs).await {
        Ok(report) => {
            println!("{report}");
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("{error}");
            ExitCode::FAILURE
        }
    }
}
