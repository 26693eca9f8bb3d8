//! The model attributes slowdowns to the right class although readings arrive late.

use std::collections::VecDeque;
use std::time::Duration;

use agate_core::Moment;
use agate_place::ClassKey;
use agate_place::interference::{Band, Model, Sample};
use agate_place::workers::{History, Mix};
use rand::Rng;
use rstest::rstest;

use crate::support::{at, rng};

const URGENT: ClassKey = ClassKey(0);
const NOISY: ClassKey = ClassKey(1);
const QUIET: ClassKey = ClassKey(2);
const HALFLIFE: Duration = Duration::from_mins(10);
/// Log slowdown caused by a whole machine of the noisy class.
const TRUE_COEFFICIENT: f64 = 1.5;
const LAG_SECS: u64 = 5;

/// The batch work to which a reading is attributed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Attribution {
    AtReading,
    AtArrival,
}

/// Alternates noisy and quiet runs in periods as long as the lag of the readings.
fn learn(attribution: Attribution, secs: u64) -> Model {
    let mut model = Model::new(HALFLIFE);
    let mut history = History::default();
    let mut rng = rng(11);
    let mut pending: VecDeque<(Moment, f64)> = VecDeque::new();
    for s in 1..secs {
        let now = at(s);
        let is_noisy = (s / LAG_SECS).is_multiple_of(2);
        let mut mix = Mix::default();
        mix.add(
            if is_noisy { NOISY } else { QUIET },
            rng.random_range(0.3..0.5),
        );
        history.record(now, mix.clone());
        let noise: f64 = rng.random_range(-0.05..0.05);
        let slowdown = (TRUE_COEFFICIENT * mix.share(NOISY) + noise).exp();
        pending.push_back((now, slowdown));
        if pending.len() as u64 <= LAG_SECS {
            continue;
        }
        let (measured_at, slowdown) = pending.pop_front().unwrap();
        let ran = match attribution {
            Attribution::AtReading => history.at(measured_at),
            Attribution::AtArrival => history.at(now),
        };
        let sample = Sample {
            urgent: URGENT,
            band: Band::Medium,
            measured_at,
            slowdown,
        };
        model.learn(now, sample, ran.unwrap());
    }
    model
}

#[test]
fn the_true_coefficients_are_learned_from_late_readings() {
    let model = learn(Attribution::AtReading, 300);
    let noisy = model.coefficient(at(300), URGENT, Band::Medium, NOISY);
    let quiet = model.coefficient(at(300), URGENT, Band::Medium, QUIET);
    assert!((noisy - TRUE_COEFFICIENT).abs() < 0.25, "noisy {noisy}");
    assert!(quiet < 0.15, "quiet {quiet}");
}

#[test]
fn attribution_to_what_runs_now_blames_the_wrong_class() {
    let model = learn(Attribution::AtArrival, 300);
    let noisy = model.coefficient(at(300), URGENT, Band::Medium, NOISY);
    let quiet = model.coefficient(at(300), URGENT, Band::Medium, QUIET);
    assert!(quiet > noisy, "noisy {noisy}, quiet {quiet}");
}

#[test]
fn classes_that_run_together_are_told_apart() {
    let mut model = Model::new(HALFLIFE);
    let mut rng = rng(13);
    for s in 1..400 {
        let mut mix = Mix::default();
        mix.add(NOISY, rng.random_range(0.05..0.5));
        mix.add(QUIET, rng.random_range(0.05..0.5));
        let sample = Sample {
            urgent: URGENT,
            band: Band::Low,
            measured_at: at(s),
            slowdown: (TRUE_COEFFICIENT * mix.share(NOISY)).exp(),
        };
        model.learn(at(s), sample, &mix);
    }
    let noisy = model.coefficient(at(400), URGENT, Band::Low, NOISY);
    let quiet = model.coefficient(at(400), URGENT, Band::Low, QUIET);
    assert!((noisy - TRUE_COEFFICIENT).abs() < 0.25, "noisy {noisy}");
    assert!(quiet < 0.15, "quiet {quiet}");
}

#[rstest]
#[case::unknown(0, 1.0, 1.0)]
#[case::fresh(300, 1.5, 2.6)]
#[case::faded(300 + 12_000, 1.0, 1.05)]
fn the_prediction_decays_to_no_slowdown(#[case] secs: u64, #[case] least: f64, #[case] most: f64) {
    let model = if secs == 0 {
        Model::new(HALFLIFE)
    } else {
        learn(Attribution::AtReading, 300)
    };
    let mut mix = Mix::default();
    mix.add(NOISY, 0.5);
    let slowdown = model.predict(at(secs), URGENT, Band::Medium, &mix);
    assert!((least..=most).contains(&slowdown), "{slowdown}");
}

#[test]
fn memory_is_bounded_whatever_classes_come() {
    let mut model = Model::new(HALFLIFE);
    for i in 0..20_000 {
        let mut mix = Mix::default();
        mix.add(ClassKey(i), 0.5);
        let sample = Sample {
            urgent: ClassKey(i % 7),
            band: Band::Full,
            measured_at: at(1),
            slowdown: 2.0,
        };
        model.learn(at(1), sample, &mix);
    }
    assert!(model.len() <= 4_096);
}
