//! Prints the costs of the folded state: recovery, log bytes, withdrawal and memory.

fn main() {
    for table in agate_bench::state::run() {
        println!("{table}");
    }
}
