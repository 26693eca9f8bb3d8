//! Sound jobs beside jobs whose runs stall on every worker.

use std::time::Duration;

use agate_core::Moment;
use agate_jobs::{EndCause, Record};
use rstest::rstest;

use super::{ROUND, crashed};
use crate::fleet::Fleet;
use crate::probation::gang;
use crate::support::{ended, report, step, submitted, task};

/// Time after which an agent stops a run that makes no progress.
const STALL_TIME: Duration = Duration::from_millis(1_200);

/// A kind of task that stays away from closed workers.
#[derive(Debug, Clone, Copy)]
enum Kind {
    Plain,
    Gang,
    LastAttempt,
    Suspect,
}

fn submit(fleet: &mut Fleet, job: u64, kind: Kind) {
    let step = match kind {
        Kind::Gang => gang(2),
        Kind::Plain | Kind::LastAttempt | Kind::Suspect => step(1),
    };
    fleet.fold(submitted(job, vec![step]));
    match kind {
        Kind::Plain | Kind::Gang => {}
        Kind::LastAttempt => fleet.fold(ended(task(job, 0, 0), 1, EndCause::Failed, "z")),
        Kind::Suspect => fleet.fold(crashed(task(job, 0, 0))),
    }
}

/// Runs of other jobs that stall, each bound to a closed worker, close it anew before it takes any other task.
#[rstest]
#[case::plain(Kind::Plain)]
#[case::gang(Kind::Gang)]
#[case::last_attempt(Kind::LastAttempt)]
#[case::suspect(Kind::Suspect)]
fn sound_jobs_run_beside_jobs_that_stall_everywhere(#[case] kind: Kind) {
    let sound = 50;
    let mut fleet = Fleet::new(&["a", "b"].map(|name| report(name, 1)));
    let mut runs: Vec<(Moment, Record)> = Vec::new();
    let mut started = None;
    for round in 0..600 {
        let now = fleet.now;
        for (_, end) in runs.extract_if(.., |(at, _)| now.since(*at) >= STALL_TIME) {
            fleet.fold(end);
        }
        if round < 24 && round % 4 == 0 {
            fleet.fold(submitted(1 + round / 4, vec![step(1)]));
        }
        if round == 60 {
            submit(&mut fleet, sound, kind);
        }
        for placed in fleet.place() {
            if placed.task.job.0 == sound {
                started = started.or(Some(round));
                continue;
            }
            let end = ended(placed.task, placed.run, EndCause::Stalled, &placed.worker);
            runs.push((now, end));
        }
        fleet.now = now + ROUND;
    }
    assert!(
        started.is_some_and(|round| round <= 60 + 60),
        "{kind:?} starts in round {started:?} after its submission in 60"
    );
}
