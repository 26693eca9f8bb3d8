//! Prints what messages, records, state and decisions cost at several sizes, with their slopes.

use agate_bench::slopes::{StateKind, measure_memory, run};

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.as_slice() {
        [] => print_all(),
        [subject, size] => print_memory(subject, size),
        _ => eprintln!("The program takes either nothing, or a subject and a size."),
    }
}

fn print_all() {
    for table in run() {
        println!("{table}");
    }
}

/// Prints one reading of memory; [`run`] calls the program so for each.
fn print_memory(subject: &str, size: &str) {
    let (Ok(subject), Ok(size)) = (subject.parse::<StateKind>(), size.parse()) else {
        eprintln!("There is no such subject, or the size is no whole number.");
        return;
    };
    println!("{}", measure_memory(subject, size));
}
