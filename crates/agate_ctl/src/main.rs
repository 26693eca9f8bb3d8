//! The `agatectl` program.

use std::process::ExitCode;

#[tokio::main(flavor = "current_thread")]
async fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let options = match agate_ctl::parse(&args) {
        Ok(options) => options,
        Err(stop) => {
            stop.print();
            return ExitCode::from(stop.code);
        }
    };
    let report = agate_ctl::run(&options).await;
    report.print();
    report.status.into()
}
