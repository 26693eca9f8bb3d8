//! Prints the size, memory and processor time of messages, records, state and decisions at several
//! scales, with their slopes.

use agate_bench::slopes::{StateKind, measure_memory, run};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => print_all(),
        [kind, size] => print_memory(kind, size),
        _ => eprintln!("usage: slopes [KIND SIZE]"),
    }
}

fn print_all() {
    for table in run() {
        println!("{table}");
    }
}

/// Prints the memory of one kind of state; [`run`] starts the program like this for each size.
fn print_memory(kind: &str, size: &str) {
    let (Ok(kind), Ok(size)) = (kind.parse::<StateKind>(), size.parse()) else {
        eprintln!("unknown kind of state, or size that is not a whole number");
        return;
    };
    println!("{}", measure_memory(kind, size));
}
