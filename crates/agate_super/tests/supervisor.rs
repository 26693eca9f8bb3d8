//! Restart, backoff, escalation and shutdown of supervised tasks.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use agate_super::{ChildError, Policy, Restart, Supervisor};
use rstest::rstest;
use tokio::time::{Instant, advance, sleep};
use tokio_util::sync::CancellationToken;

type Count = Arc<AtomicUsize>;

fn policy() -> Policy {
    Policy::builder()
        .restarts(3)
        .grace(Duration::from_secs(2))
        .build()
}

async fn run_until_stopped(count: Count, stop: CancellationToken) -> Result<(), ChildError> {
    count.fetch_add(1, Ordering::SeqCst);
    stop.cancelled().await;
    Ok(())
}

#[tokio::test(start_paused = true)]
async fn killed_child_is_restarted_and_its_sibling_keeps_running() {
    let (victim, sibling) = (Count::default(), Count::default());
    let mut tree = Supervisor::new("root", policy());
    let (a, b) = (Arc::clone(&victim), Arc::clone(&sibling));
    tree.child("victim", Restart::Permanent, move |stop| {
        run_until_stopped(Arc::clone(&a), stop)
    });
    tree.child("sibling", Restart::Permanent, move |stop| {
        run_until_stopped(Arc::clone(&b), stop)
    });
    let control = tree.control();
    let stop = CancellationToken::new();
    let run = tokio::spawn(tree.run(stop.clone()));

    sleep(Duration::from_millis(1)).await;
    control.kill("victim");
    sleep(Duration::from_secs(1)).await;

    assert_eq!(victim.load(Ordering::SeqCst), 2);
    assert_eq!(sibling.load(Ordering::SeqCst), 1);
    stop.cancel();
    run.await
        .expect("the supervisor doesn't panic")
        .expect("nothing escalated");
}

#[rstest]
#[case::permanent_after_success(Restart::Permanent, Ok(()), 4)]
#[case::permanent_after_failure(Restart::Permanent, Err(()), 4)]
#[case::transient_after_success(Restart::Transient, Ok(()), 1)]
#[case::transient_after_failure(Restart::Transient, Err(()), 4)]
#[case::temporary_after_failure(Restart::Temporary, Err(()), 1)]
#[tokio::test(start_paused = true)]
async fn child_is_restarted_according_to_its_restart_kind(
    #[case] restart: Restart,
    #[case] end: Result<(), ()>,
    #[case] starts: usize,
) {
    let count = Count::default();
    let seen = Arc::clone(&count);
    let mut tree = Supervisor::new("root", policy());
    tree.child("child", restart, move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        async move { end.map_err(|()| ChildError("broken".to_owned())) }
    });
    let result = tree.run(CancellationToken::new()).await;
    assert_eq!(count.load(Ordering::SeqCst), starts);
    // Four starts are the first start and three restarts; the next failure escalates.
    assert_eq!(result.is_err(), starts == 4);
}

#[tokio::test(start_paused = true)]
async fn repeated_panics_escalate_with_the_name_of_the_child() {
    let mut tree = Supervisor::new("root", policy());
    tree.child("child", Restart::Transient, |_| async { panic!("bug") });
    let escalation = tree
        .run(CancellationToken::new())
        .await
        .expect_err("the child always panics");
    assert_eq!((escalation.supervisor, escalation.child), ("root", "child"));
    assert!(escalation.cause.contains("bug"), "{}", escalation.cause);
}

#[tokio::test(start_paused = true)]
async fn escalation_of_a_nested_supervisor_restarts_it() {
    let count = Count::default();
    let seen = Arc::clone(&count);
    let mut tree = Supervisor::new("root", policy());
    tree.child("branch", Restart::Permanent, move |stop| {
        let seen = Arc::clone(&seen);
        let mut branch = Supervisor::new("branch", policy());
        branch.child("leaf", Restart::Permanent, move |_| {
            seen.fetch_add(1, Ordering::SeqCst);
            async { Err(ChildError("broken".to_owned())) }
        });
        async move { Ok(branch.run(stop).await?) }
    });
    let escalation = tree
        .run(CancellationToken::new())
        .await
        .expect_err("the leaf always fails");
    assert_eq!(escalation.child, "branch");
    assert_eq!(
        count.load(Ordering::SeqCst),
        16,
        "four starts of the branch with four of the leaf each"
    );
}

#[tokio::test(start_paused = true)]
async fn failures_further_apart_than_the_window_never_escalate() {
    let count = Count::default();
    let seen = Arc::clone(&count);
    let mut tree = Supervisor::new("root", policy());
    tree.child("child", Restart::Permanent, move |_| {
        seen.fetch_add(1, Ordering::SeqCst);
        async {
            sleep(Duration::from_mins(2)).await;
            Err(ChildError("rare".to_owned()))
        }
    });
    let stop = CancellationToken::new();
    let run = tokio::spawn(tree.run(stop.clone()));
    sleep(Duration::from_hours(1)).await;
    assert!(!run.is_finished());
    assert!(count.load(Ordering::SeqCst) > 20);
    stop.cancel();
    run.await
        .expect("the supervisor doesn't panic")
        .expect("nothing escalated");
}

#[tokio::test(start_paused = true)]
async fn child_that_ignores_the_stop_is_aborted_after_the_grace_time() {
    let mut tree = Supervisor::new("root", policy());
    tree.child("deaf", Restart::Permanent, |_| async {
        sleep(Duration::from_hours(10)).await;
        Ok(())
    });
    let stop = CancellationToken::new();
    let run = tokio::spawn(tree.run(stop.clone()));
    advance(Duration::from_millis(10)).await;
    let stopped_at = Instant::now();
    stop.cancel();
    run.await
        .expect("the supervisor doesn't panic")
        .expect("nothing escalated");
    assert_eq!(stopped_at.elapsed().as_secs(), 2);
}
