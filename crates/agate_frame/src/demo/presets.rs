//! Presets with short timers, so that a demo does not take long.

use serde_json::{Value, json};

/// Returns the preset of an ordinary day.
pub fn ordinary_day() -> Value {
    json!({
        "kind": "ordinary",
        "membership": {"heartbeat_ms": 200, "suspect_ms": 1_000, "forget_ms": 3_000},
        "leases": {"run_ms": 2_000},
        "classes": {
            "seat-check": {"urgency": "urgent", "repeatable": true, "deadline_ms": 2_000},
            "seat-assign": {"urgency": "urgent", "repeatable": false, "deadline_ms": 2_000},
            "rebalance": {"urgency": "batch"},
            "rerating": {"urgency": "batch"}
        },
        "teams": {"seats": {"millicores": 16_000, "memory_mib": 32_000}}
    })
}

/// Returns the preset of a peak day: like an ordinary day, with more weight on latency.
pub fn peak_day() -> Value {
    let mut preset = ordinary_day();
    preset["kind"] = json!("peak");
    preset["weights"] = json!({"latency": 80, "throughput": 10, "evictions": 10});
    preset
}
