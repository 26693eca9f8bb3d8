//! Generates the Rust types of the log records; run it after changing `records.proto`.

use std::error::Error;
use std::path::Path;

fn main() -> Result<(), Box<dyn Error>> {
    let records = Path::new(env!("CARGO_MANIFEST_DIR")).join("../agate_records");
    let proto = records.join("proto");
    let descriptors = protox::compile(["records.proto"], [&proto])?;
    let mut config = prost_build::Config::new();
    config.out_dir(records.join("src/generated"));
    config.compile_fds(descriptors)?;
    Ok(())
}
