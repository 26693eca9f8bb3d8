//! Handles requests to start a run.

use std::sync::Arc;

use agate_bind::{RunBindOutcome, RunState};
use agate_core::Resources;
use agate_wire::message::{StartReply, StartRun};
use tokio::sync::watch;

use super::{hold, report};
use crate::state::{Bindings, Core, Phase, RunDetails};

/// Starts a run at most once. The run continues if this future is dropped.
pub(crate) async fn start(core: &Arc<Core>, request: StartRun) -> StartReply {
    let Some(bindings) = core.bindings_of(request.incarnation) else {
        return StartReply::Gone;
    };
    match bind_run(core, &bindings, &request) {
        StartStep::New(sender) => {
            let receiver = sender.subscribe();
            hold::spawn(core, &bindings, request, sender);
            wait_for_reply(receiver).await
        }
        StartStep::Starting(receiver) => wait_for_reply(receiver).await,
        StartStep::Settled(reply) => reply,
        StartStep::Refused(reason) => {
            report::spawn_not_started(core, &bindings, request.run, &reason);
            StartReply::Refused { reason }
        }
    }
}

/// Next step for a request to start a run.
enum StartStep {
    /// Start the run.
    New(watch::Sender<Option<StartReply>>),
    /// Wait for the request that is already starting the run.
    Starting(watch::Receiver<Option<StartReply>>),
    /// Do nothing: the reply is known.
    Settled(StartReply),
    /// Report that the run was refused.
    Refused(String),
}

fn bind_run(core: &Core, bindings: &Bindings, request: &StartRun) -> StartStep {
    let run = request.run;
    let mut runs = bindings.runs.lock();
    let refusal = find_refusal(core, runs.abandoned.is_empty(), request);
    match runs.table.bind(run, request.bound, request.demand) {
        RunBindOutcome::New => {}
        RunBindOutcome::Refused(refusal) => return StartStep::Refused(refusal.to_string()),
        RunBindOutcome::Known(RunState::Starting) => {
            let start_reply = runs
                .details
                .get(&run)
                .map(|detail| detail.start_reply.clone());
            return start_reply
                .map_or(StartStep::Settled(StartReply::Started), StartStep::Starting);
        }
        RunBindOutcome::Known(state) => return StartStep::Settled(reply_for_known(state)),
    }
    if let Some(reason) = refusal {
        // The run was bound just above, so it is still starting and can be refused.
        let refused = runs.table.refuse(run);
        debug_assert!(refused.is_ok(), "a starting run can be refused");
        return StartStep::Refused(reason);
    }
    let (sender, start_reply) = watch::channel(None);
    let detail = RunDetails {
        class: request.class.clone(),
        tags: request.tags.clone(),
        bound_at: request.bound,
        peak: Resources::ZERO,
        start_reply,
    };
    runs.details.insert(run, detail);
    StartStep::New(sender)
}

/// Returns the reason why a new run can't start now, apart from missing capacity.
fn find_refusal(core: &Core, is_clear: bool, request: &StartRun) -> Option<String> {
    if !core.is_worker() {
        return Some("no worker runs on this machine".to_owned());
    }
    if core.phase() >= Phase::Leaving {
        return Some("the agent is leaving".to_owned());
    }
    if !is_clear {
        return Some("the worker still holds runs that were given up".to_owned());
    }
    let policy = core.policy.current();
    policy
        .find_stop_mode(&request.class, &request.tags, request.bound)
        .map(|_| "the class or a tag is withdrawn".to_owned())
}

fn reply_for_known(state: RunState) -> StartReply {
    match state {
        RunState::Tombstoned => StartReply::Refused {
            reason: "the run was refused before".to_owned(),
        },
        RunState::Lost => StartReply::Gone,
        RunState::Starting
        | RunState::Running(_)
        | RunState::Stopping(_)
        | RunState::Ended(_)
        | RunState::Acknowledged => StartReply::Started,
    }
}

async fn wait_for_reply(mut start_reply: watch::Receiver<Option<StartReply>>) -> StartReply {
    let reply = start_reply.wait_for(Option::is_some).await;
    // The task that starts the run replies before it ends, unless the incarnation is lost.
    reply.map_or(StartReply::Gone, |reply| {
        reply.clone().unwrap_or(StartReply::Gone)
    })
}
