//! Whole-number sections of a preset. Validation, reference pages and defaults all derive from
//! these definitions.

mod section;

use section::section;

section! {
    /// Choice of a backend server for an urgent request.
    Routing at "routing" {
        /// Members sampled for each choice.
        candidates: 3, 1..=16, "members";
        /// Average latency, as a share of the median latency, at which a member is ejected.
        outlier_percent: 300, 110..=10_000, "%";
        /// Time before an ejected member is probed; doubles with each further ejection.
        ejection_ms: 5_000, 100..=600_000, "ms";
        /// Largest share of members that may be ejected at once.
        ejected_percent: 30, 0..=90, "%";
        /// Time over which the share of requests sent to a new member rises to its full size.
        warmup_ms: 10_000, 0..=600_000, "ms";
        /// Occupancy of the entry's zone at which other zones of the region are considered.
        spill_percent: 80, 1..=100, "%";
    }
}

section! {
    /// Admission of urgent requests by an agent.
    Admission at "admission" {
        /// Largest number of queued requests, as a share of the slots.
        queue_percent: 200, 0..=10_000, "%";
        /// Shortest retry delay sent to a refused caller.
        retry_ms: 200, 1..=60_000, "ms";
        /// Largest random addition to the retry delay, as a share of it.
        jitter_percent: 50, 0..=400, "%";
    }
}

section! {
    /// Retries of repeatable requests by an entry.
    Retries at "retries" {
        /// Retries and hedges allowed per caller and class, as a share of first attempts.
        budget_percent: 10, 0..=100, "%";
        /// Largest number of attempts for a request, including the first.
        attempts: 3, 1..=10, "attempts";
        /// Quantile of the latency after which a hedge is sent; 100 disables hedging.
        hedge_percent: 100, 50..=100, "%";
    }
}

section! {
    /// Use of the link between regions by urgent requests.
    Link at "link" {
        /// Sustained rate allowed per entry.
        rate_bytes: 400_000, 0..=1_000_000_000, "bytes/s";
        /// Bytes that may be sent in one burst after idle time.
        burst_bytes: 2_000_000, 0..=1_000_000_000, "bytes";
    }
}

section! {
    /// Detection of members that joined, left or stopped responding.
    Membership at "membership" {
        /// Interval between heartbeats of an agent.
        heartbeat_ms: 1_000, 50..=60_000, "ms";
        /// Time without heartbeats after which a member is suspected and receives no new work.
        suspect_ms: 3_000, 100..=600_000, "ms";
        /// Time without heartbeats after which a member is removed from the view.
        forget_ms: 60_000, 1_000..=86_400_000, "ms";
        /// Time without an answer to a ping after which a connection is closed.
        silent_ms: 2_000, 100..=60_000, "ms";
    }
}

section! {
    /// Placement of batch tasks on workers.
    Placement at "placement" {
        /// Workers sampled for each task.
        candidates: 8, 1..=64, "workers";
        /// Quantile of the observed usage of a class that is allocated to its tasks.
        quantile_percent: 95, 50..=100, "%";
        /// Share of the resources of a worker that batch work leaves free.
        headroom_percent: 10, 0..=90, "%";
        /// Waiting time that outweighs a whole quota in use when teams are ordered.
        ageing_ms: 300_000, 1_000..=86_400_000, "ms";
        /// Least number of failed runs after which a task may be given up.
        attempts: 5, 1..=100, "runs";
        /// Consecutive unexplained failures after which a worker is quarantined.
        quarantine_failures: 3, 1..=100, "runs";
        /// Interval between probes of a quarantined worker.
        probe_ms: 30_000, 100..=3_600_000, "ms";
    }
}

section! {
    /// Learned model of the slowdown that batch classes cause to urgent classes.
    Interference at "interference" {
        /// Predicted slowdown of an urgent class above which a batch task is not placed.
        limit_percent: 130, 101..=1_000, "%";
        /// Time after which the weight of a sample halves.
        halflife_ms: 120_000, 1_000..=86_400_000, "ms";
        /// Share of placements that ignore the prediction to collect samples.
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
        /// Measured slowdown below which a step is reverted.
        release_percent: 110, 100..=1_000, "%";
        /// Time that a slowdown must last before the next step.
        hold_ms: 3_000, 100..=600_000, "ms";
        /// Time allowed for a checkpoint before the task is stopped.
        checkpoint_ms: 10_000, 100..=3_600_000, "ms";
    }
}

section! {
    /// Leases of batch runs.
    Leases at "leases" {
        /// Time for which a worker keeps a run without renewal by an entry that reads the log.
        run_ms: 60_000, 1_000..=3_600_000, "ms";
    }
}

section! {
    /// Weights of the three objectives in decisions that trade them off.
    Weights at "weights" {
        /// Weight of urgent tail latency.
        latency: 50, 0..=100, "points";
        /// Weight of finished batch tasks.
        throughput: 30, 0..=100, "points";
        /// Weight of avoided evictions.
        evictions: 20, 0..=100, "points";
    }
}
