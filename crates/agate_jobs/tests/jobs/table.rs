//! Folding of records into jobs.

use agate_core::JobId;
use agate_jobs::record::Body;
use agate_jobs::{EndCause, JobState, JobTable, LeaderHeartbeat, Record};
use rstest::rstest;

use crate::support::{ended, step, submitted, task};

fn state(records: Vec<Record>) -> Option<JobState> {
    let mut table = JobTable::default();
    for record in records {
        table.fold(record);
    }
    table.state(JobId(1))
}

#[rstest]
#[case::unknown(vec![], None)]
#[case::accepted(vec![submitted(1, vec![step(1)])], Some(JobState::Queued))]
#[case::one_of_two(
    vec![
        submitted(1, vec![step(2)]),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
    ],
    Some(JobState::Running)
)]
#[case::all(
    vec![
        submitted(1, vec![step(2)]),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
        ended(task(1, 0, 1), 1, EndCause::Done, "a"),
    ],
    Some(JobState::Completed)
)]
#[case::the_same_end_twice(
    vec![
        submitted(1, vec![step(2)]),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
    ],
    Some(JobState::Running)
)]
#[case::late_success_of_a_lost_run(
    vec![
        submitted(1, vec![step(1)]),
        ended(task(1, 0, 0), 1, EndCause::Lost, "a"),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
    ],
    Some(JobState::Running)
)]
#[case::failed_once(
    vec![
        submitted(1, vec![step(1)]),
        ended(task(1, 0, 0), 1, EndCause::Failed, "a"),
    ],
    Some(JobState::Running)
)]
#[case::failed_too_often(
    vec![
        submitted(1, vec![step(1)]),
        ended(task(1, 0, 0), 1, EndCause::Failed, "a"),
        ended(task(1, 0, 0), 2, EndCause::Failed, "b"),
    ],
    Some(JobState::Failed)
)]
#[case::lost_is_no_attempt(
    vec![
        submitted(1, vec![step(1)]),
        ended(task(1, 0, 0), 1, EndCause::Lost, "a"),
        ended(task(1, 0, 0), 2, EndCause::Stopped, "a"),
        ended(task(1, 0, 0), 3, EndCause::Refused, "a"),
    ],
    Some(JobState::Running)
)]
#[case::cancelled(
    vec![
        submitted(1, vec![step(1)]),
        Record::new(Body::Cancelled { job: JobId(1) }),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
    ],
    Some(JobState::Cancelled)
)]
#[case::cancelled_after_its_end(
    vec![
        submitted(1, vec![step(1)]),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
        Record::new(Body::Cancelled { job: JobId(1) }),
    ],
    Some(JobState::Completed)
)]
#[case::submitted_again_after_it_was_closed(
    vec![
        submitted(1, vec![step(1)]),
        Record::new(Body::Closed {
            job: JobId(1),
            queue: "moves".to_owned(),
            state: JobState::Completed,
            at_ms: 2_000,
        }),
        submitted(1, vec![step(1)]),
    ],
    Some(JobState::Completed)
)]
#[case::listed_end_recorded_again_behind_a_concluded_one(
    vec![
        submitted(1, vec![step(1)]),
        ended(task(1, 0, 0), 1, EndCause::Untraced, "a"),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
    ],
    Some(JobState::Completed)
)]
#[case::concluded_end_behind_a_listed_one(
    vec![
        submitted(1, vec![step(1)]),
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
        ended(task(1, 0, 0), 1, EndCause::Untraced, "a"),
    ],
    Some(JobState::Completed)
)]
#[case::submission_moved_behind_its_end(
    vec![
        ended(task(1, 0, 0), 1, EndCause::Done, "a"),
        submitted(1, vec![step(1)]),
    ],
    Some(JobState::Completed)
)]
#[case::submission_moved_behind_its_cancelling(
    vec![
        Record::new(Body::Cancelled { job: JobId(1) }),
        submitted(1, vec![step(1)]),
    ],
    Some(JobState::Cancelled)
)]
fn a_job_comes_to(#[case] records: Vec<Record>, #[case] expected: Option<JobState>) {
    assert_eq!(state(records), expected);
}

/// kehilla-seats-grown, trouble-2: a submission that is recorded again moves behind the ends of its
/// tasks, and a process that loads the newest record of each key reads these ends first.
#[test]
fn a_task_whose_end_is_read_before_its_job_is_not_placed() {
    let mut fleet = crate::fleet::Fleet::new(&[crate::support::report("a", 1)]);
    fleet.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    fleet.fold(submitted(1, vec![step(2)]));
    let placed: Vec<u32> = fleet
        .place()
        .iter()
        .map(|placed| placed.task.index)
        .collect();
    assert_eq!(placed, [1]);
}

#[test]
fn a_step_waits_for_those_before_it() {
    let mut second = step(1);
    second.after = vec![0];
    let mut table = JobTable::default();
    table.fold(submitted(1, vec![step(2), second]));
    table.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    assert!(!table.job(JobId(1)).expect("it is on record").is_ready(0, 1));
    table.fold(ended(task(1, 0, 1), 1, EndCause::Done, "a"));
    assert!(table.job(JobId(1)).expect("it is on record").is_ready(0, 1));
}

#[test]
fn one_finished_member_finishes_a_gang() {
    let mut gang = step(3);
    gang.gang = true;
    let records = vec![
        submitted(1, vec![gang]),
        ended(task(1, 0, 2), 1, EndCause::Done, "a"),
    ];
    assert_eq!(state(records), Some(JobState::Completed));
}

#[test]
fn a_lasting_task_neither_fails_nor_completes_its_job() {
    let mut long_running = step(1);
    long_running.long_running = true;
    let mut records = vec![submitted(1, vec![long_running])];
    records.extend((1..9).map(|run| ended(task(1, 0, 0), run, EndCause::Failed, "a")));
    assert_eq!(state(records), Some(JobState::Running));
}

#[test]
fn pending_counts_jobs_that_no_beat_and_no_end_calls_begun() {
    let mut table = JobTable::default();
    for job in 1..=3 {
        table.fold(submitted(job, vec![step(2)]));
    }
    table.fold(ended(task(1, 0, 0), 1, EndCause::Done, "a"));
    table.fold(Record::new(Body::Leader(LeaderHeartbeat {
        epoch: 1,
        entry: "e".to_owned(),
        resigns: false,
        started_jobs: vec![JobId(2)],
    })));
    assert_eq!(table.pending("moves"), 1);
    assert_eq!(table.pending("other"), 0);
}

#[test]
fn an_older_leader_changes_nothing() {
    let beat = |epoch, entry: &str| {
        Record::new(Body::Leader(LeaderHeartbeat {
            epoch,
            entry: entry.to_owned(),
            resigns: false,
            started_jobs: Vec::new(),
        }))
    };
    let mut table = JobTable::default();
    table.fold(beat(2, "new"));
    table.fold(beat(1, "old"));
    assert_eq!(table.leader().entry, "new");
    assert_eq!(table.leader().epoch, 2);
}
