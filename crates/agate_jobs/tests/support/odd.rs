//! Odd messages: valid ones in which numbers are replaced, and arbitrary bytes. Shared by the tests of
//! several crates.

use std::ops::Range;

use proptest::collection::vec;
use proptest::prelude::*;
use proptest::sample::select;
use proptest::test_runner::{RngAlgorithm, RngSeed};

/// Numbers at the limits of usual types.
const NUMBERS: [&str; 8] = [
    "0",
    "1",
    "7",
    "2147483648",
    "4294967295",
    "9007199254740993",
    "1700000000000",
    "18446744073709551615",
];

/// Values of other types than a message has.
const OTHERS: [&str; 8] = [
    "-1",
    "18446744073709551616",
    "1e308",
    "null",
    "\"\"",
    "[]",
    "{}",
    "true",
];

/// Returns a configuration with a fixed seed.
pub(crate) fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_algorithm: RngAlgorithm::ChaCha,
        rng_seed: RngSeed::Fixed(38),
        ..ProptestConfig::default()
    }
}

/// Replaces the number at each position, counted modulo their count, by another value.
fn edit(message: &[u8], edits: &[(usize, &str)]) -> Vec<u8> {
    let mut message = String::from_utf8_lossy(message).into_owned();
    for (position, value) in edits {
        let numbers = numbers(&message);
        if let Some(number) = numbers.get(position % numbers.len().max(1)) {
            message.replace_range(number.clone(), value);
        }
    }
    message.into_bytes()
}

/// Returns the places of the numbers, also of those within a text.
fn numbers(message: &str) -> Vec<Range<usize>> {
    let words = message.split(|c: char| !c.is_ascii_alphanumeric());
    let numbers = words.filter(|word| word.starts_with(|c: char| c.is_ascii_digit()));
    let start = |word: &str| word.as_ptr() as usize - message.as_ptr() as usize;
    numbers
        .map(|word| start(word)..start(word) + word.len())
        .collect()
}

/// Generates one of the messages with one or two other numbers.
pub(crate) fn edited(valid: Vec<Vec<u8>>) -> impl Strategy<Value = Vec<u8>> {
    with_values(valid, &NUMBERS)
}

fn with_values(
    valid: Vec<Vec<u8>>,
    values: &'static [&'static str],
) -> impl Strategy<Value = Vec<u8>> {
    let edits = vec((any::<usize>(), select(values)), 1..3);
    (select(valid), edits).prop_map(|(valid, edits)| edit(&valid, &edits))
}

/// Generates a message with other values, one with other bytes or cut short, and arbitrary bytes.
pub(crate) fn odd(valid: &[Vec<u8>]) -> impl Strategy<Value = Vec<u8>> + use<> {
    let bytes = vec((any::<usize>(), any::<u8>()), 0..4);
    let damaged = (select(valid.to_vec()), bytes, any::<usize>());
    let damaged = damaged.prop_map(|(mut message, bytes, length)| {
        message.truncate(length % (2 * message.len() + 1));
        let count = message.len().max(1);
        for (at, byte) in bytes {
            if let Some(known) = message.get_mut(at % count) {
                *known = byte;
            }
        }
        message
    });
    prop_oneof![
        edited(valid.to_vec()),
        with_values(valid.to_vec(), &OTHERS),
        damaged,
        vec(any::<u8>(), 0..80)
    ]
}
