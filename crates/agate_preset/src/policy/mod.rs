//! The whole-number sections of a preset, each described once for checks, docs and defaults.

mod section;

use section::section;

section! {
    /// Choice of a backend server for an urgent request.
    Routing at "routing" {
        /// Members sampled for each choice.
        candidates: 3, 1..=16, "members";
        /// Slowness, as a share of the median latency, at which a member is ejected.
        outlier_percent: 300, 110..=10_000, "%";
        /// Time for which an ejected member gets only probes; doubles with each repeat.
        ejection_ms: 5_000, 100..=600_000, "ms";
        /// The largest share of members that may be ejected at once.
        ejected_percent: 30, 0..=90, "%";
        /// Time over which a new member's share of requests rises to its full size.
        warmup_ms: 10_000, 0..=600_000, "ms";
        /// Occupancy of the own zone above which other zones of the region are considered.
        spill_percent: 80, 1..=100, "%";
    }
}

section! {
    /// Admission of urgent requests by an agent.
    Admission at "admission" {
        /// Requests that may wait, as a share of the slots.
        queue_percent: 200, 0..=10_000, "%";
        /// The least time after which a refused caller is told to come back.
        retry_ms: 200, 1..=60_000, "ms";
        /// Random addition to that time, as a share of it.
        jitter_percent: 50, 0..=400, "%";
    }
}

section! {
    /// Repeats of repeatable requests by an entry.
    Retries at "retries" {
        /// Extra attempts allowed, as a share of first attempts, per class.
        budget_percent: 10, 0..=100, "%";
        /// Attempts for one request, the first included.
        attempts: 3, 1..=10, "attempts";
        /// Share of answers that arrive before a hedge is sent; 100 sends none.
        hedge_percent: 100, 50..=100, "%";
    }
}

section! {
    /// Use of the link between regions by urgent requests.
    Link at "link" {
        /// Sustained rate allowed to one entry.
        rate_bytes: 400_000, 0..=1_000_000_000, "bytes/s";
        /// Bytes that may be sent at once after idle time.
        burst_bytes: 2_000_000, 0..=1_000_000_000, "bytes";
    }
}

section! {
    /// Detection of members that joined, left or went silent.
    Membership at "membership" {
        /// Time between two heartbeats of an agent.
        heartbeat_ms: 1_000, 50..=60_000, "ms";
        /// Silence after which a member gets no new work.
        suspect_ms: 3_000, 100..=600_000, "ms";
        /// Silence after which a member is dropped from the view.
        forget_ms: 60_000, 1_000..=86_400_000, "ms";
        /// Time without an answer to a ping after which a connection is condemned.
        silent_ms: 2_000, 100..=60_000, "ms";
    }
}

section! {
    /// Placement of batch tasks on workers.
    Placement at "placement" {
        /// Workers sampled for each task.
        candidates: 8, 1..=64, "workers";
        /// Quantile of observed use by which a class is admitted.
        quantile_percent: 95, 50..=100, "%";
        /// Share of a worker that batch work leaves free.
        headroom_percent: 10, 0..=90, "%";
        /// Waiting time that counts as much as one whole quota in the order of teams.
        ageing_ms: 300_000, 1_000..=86_400_000, "ms";
        /// Failed runs after which a task is given up.
        attempts: 5, 1..=100, "runs";
        /// Unexplained failures in a row after which a worker is quarantined.
        quarantine_failures: 3, 1..=100, "runs";
        /// Time between two probes of a quarantined worker.
        probe_ms: 30_000, 100..=3_600_000, "ms";
    }
}

section! {
    /// Learning of the slowdown that batch classes cause to urgent classes.
    Interference at "interference" {
        /// Predicted slowdown of an urgent class above which a batch task is not placed.
        limit_percent: 130, 101..=1_000, "%";
        /// Time after which a sample counts half.
        halflife_ms: 120_000, 1_000..=86_400_000, "ms";
        /// Placements that ignore the prediction in order to learn.
        explore_percent: 2, 0..=50, "%";
    }
}

section! {
    /// Steps against batch work that slows urgent work: throttle, evict, stop.
    Eviction at "eviction" {
        /// Measured slowdown at which batch work is throttled.
        throttle_percent: 130, 101..=1_000, "%";
        /// Measured slowdown at which batch work is evicted.
        evict_percent: 180, 101..=1_000, "%";
        /// Measured slowdown below which a step is taken back.
        release_percent: 110, 100..=1_000, "%";
        /// Time for which the slowdown must last before the next step.
        hold_ms: 3_000, 100..=600_000, "ms";
        /// Time allowed for a checkpoint before the task is stopped.
        checkpoint_ms: 10_000, 100..=3_600_000, "ms";
    }
}

section! {
    /// Leases under which batch runs are held.
    Leases at "leases" {
        /// Time for which a worker may keep a run without hearing from an entry that reads the log.
        run_ms: 60_000, 1_000..=3_600_000, "ms";
    }
}

section! {
    /// Weights of the three measures in decisions that trade them.
    Weights at "weights" {
        /// Weight of urgent tail latency.
        latency: 50, 0..=100, "points";
        /// Weight of batch tasks finished.
        throughput: 30, 0..=100, "points";
        /// Weight of evictions avoided.
        evictions: 20, 0..=100, "points";
    }
}
