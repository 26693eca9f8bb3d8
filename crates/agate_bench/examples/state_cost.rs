//! Prints what the state costs: recovery, bytes in the log, withdrawal and memory.

fn main() {
    for table in agate_bench::state::run() {
        println!("{table}");
    }
}
