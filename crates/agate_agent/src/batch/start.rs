//! Start of a run.

use std::sync::Arc;

use agate_bind::{RunBindOutcome, RunState};
use agate_core::Resources;
use agate_wire::message::{StartReply, StartRun};
use tokio::sync::watch;

use super::{hold, report};
use crate::state::{Bound, Core, Detail, Phase};

/// Starts a run once. The run goes on if the caller of this function goes away.
pub(crate) async fn start(core: &Arc<Core>, request: StartRun) -> StartReply {
    let Some(bound) = core.bound_to(request.incarnation) else {
        return StartReply::Gone;
    };
    match bind(core, &bound, &request) {
        Bind::New(sender) => {
            let receiver = sender.subscribe();
            hold::spawn(core, &bound, request, sender);
            wait(receiver).await
        }
        Bind::Starting(receiver) => wait(receiver).await,
        Bind::Settled(reply) => reply,
        Bind::Refused(reason) => {
            report::spawn_not_started(core, &bound, request.run, &reason);
            StartReply::Refused { reason }
        }
    }
}

/// What a request to start a run has to do.
enum Bind {
    /// Start it.
    New(watch::Sender<Option<StartReply>>),
    /// Wait for the request that is starting it.
    Starting(watch::Receiver<Option<StartReply>>),
    /// Nothing.
    Settled(StartReply),
    /// Nothing: the run was refused now.
    Refused(String),
}

fn bind(core: &Core, bound: &Bound, request: &StartRun) -> Bind {
    let run = request.run;
    let mut runs = bound.runs.lock();
    let refusal = refusal(core, runs.leftovers.is_empty(), request);
    match runs.table.bind(run, request.bound, request.demand) {
        RunBindOutcome::New => {}
        RunBindOutcome::Refused(refusal) => return Bind::Refused(refusal.to_string()),
        RunBindOutcome::Known(RunState::Starting) => {
            let begun = runs.details.get(&run).map(|detail| detail.begun.clone());
            return begun.map_or(Bind::Settled(StartReply::Started), Bind::Starting);
        }
        RunBindOutcome::Known(state) => return Bind::Settled(known(state)),
    }
    if let Some(reason) = refusal {
        // A run that was bound right before is starting, and so can be refused.
        let refused = runs.table.refuse(run);
        debug_assert!(refused.is_ok(), "a starting run can be refused");
        return Bind::Refused(reason);
    }
    let (sender, begun) = watch::channel(None);
    let detail = Detail {
        class: request.class.clone(),
        tags: request.tags.clone(),
        bound: request.bound,
        peak: Resources::ZERO,
        begun,
    };
    runs.details.insert(run, detail);
    Bind::New(sender)
}

/// Why a new run can't start now, apart from the room for it.
fn refusal(core: &Core, is_clear: bool, request: &StartRun) -> Option<String> {
    if !core.is_worker() {
        return Some("no worker runs on this machine".to_owned());
    }
    if core.phase() >= Phase::Leaving {
        return Some("the agent is leaving".to_owned());
    }
    if !is_clear {
        return Some("the worker still holds runs that were given up".to_owned());
    }
    let policy = core.policy.held();
    policy
        .withdraws_run(&request.class, &request.tags, request.bound)
        .map(|_| "the class or a tag is withdrawn".to_owned())
}

fn known(state: RunState) -> StartReply {
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

async fn wait(mut begun: watch::Receiver<Option<StartReply>>) -> StartReply {
    let reply = begun.wait_for(Option::is_some).await;
    // The task that starts the run answers before it ends, unless the incarnation is lost.
    reply.map_or(StartReply::Gone, |reply| {
        reply.clone().unwrap_or(StartReply::Gone)
    })
}
